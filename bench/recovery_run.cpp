#include "recovery_run.h"

#include "recovery_simulation.h"

namespace lagoonferry::bench {

recovery_figures run_recovery(const recovery_size& size, recovery_fault fault, std::uint64_t seed)
{
    recovery_simulation world(size, seed);
    world.start();
    world.run_until(fault_time);
    const std::size_t busiest = world.busiest_dispatcher();
    const timestamp length = fault_end_time(fault) - fault_time;
    switch (fault) {
    case recovery_fault::dispatcher_killed:
        world.kill_dispatcher(busiest);
        break;
    case recovery_fault::dispatcher_paused:
        world.pause_dispatcher(busiest, length);
        break;
    case recovery_fault::dispatcher_disconnected:
        world.disconnect_dispatcher(busiest, length);
        break;
    case recovery_fault::mass_restart:
        world.restart_all(length);
        break;
    case recovery_fault::domain_lost:
        world.lose_domain(world.domain_of(busiest));
        break;
    }
    world.run_until(recovery_run_end(fault));
    return world.figures(fault);
}

} // namespace lagoonferry::bench
