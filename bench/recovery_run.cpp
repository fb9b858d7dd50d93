#include "recovery_run.h"

#include "recovery_simulation.h"

namespace lagoonferry::bench {

recovery_figures run_recovery(const recovery_size& size, recovery_fault fault, std::uint64_t seed)
{
    recovery_simulation simulation(size, seed);
    simulation.start();
    simulation.run_until(fault_time);
    const std::size_t busiest = simulation.busiest_dispatcher();
    const timestamp duration = fault_end_time(fault) - fault_time;
    switch (fault) {
    case recovery_fault::dispatcher_killed:
        simulation.kill_dispatcher(busiest);
        break;
    case recovery_fault::dispatcher_paused:
        simulation.pause_dispatcher(busiest, duration);
        break;
    case recovery_fault::dispatcher_disconnected:
        simulation.disconnect_dispatcher(busiest, duration);
        break;
    case recovery_fault::mass_restart:
        simulation.restart_all(duration);
        break;
    case recovery_fault::domain_lost:
        simulation.lose_domain(simulation.domain_of(busiest));
        break;
    }
    simulation.run_until(recovery_run_end(fault));
    return simulation.figures(fault);
}

} // namespace lagoonferry::bench
