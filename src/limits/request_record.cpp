#include "limits/request_record.h"

#include <algorithm>

namespace lagoonferry {

namespace {

std::uint64_t difference_or_zero(std::uint64_t a, std::uint64_t b)
{
    return a > b ? a - b : 0;
}

// Returns the requests that are granted and not returned in `known`, as far as `record` lacks them.
double missing_in(const request_record& record, const request_record& known)
{
    double sum = 0;
    for (const auto& [id, item] : known.grants) {
        const auto it = record.grants.find(id);
        const request_record::series own = it == record.grants.end() ? request_record::series{} : it->second;
        sum += static_cast<double>(difference_or_zero(item.granted, own.granted));
        sum -= static_cast<double>(difference_or_zero(item.returned, own.returned));
    }
    return sum;
}

} // namespace

void request_record::refill(double rate_per_s, double capacity, timestamp now)
{
    const double seconds = std::chrono::duration<double>(std::max(timestamp{}, now - as_of)).count();
    level = std::min(level + rate_per_s * seconds, capacity);
    as_of = std::max(as_of, now);
}

void join(request_record& record, const request_record& other, timestamp now)
{
    record.level = std::max(record.level - missing_in(record, other), other.level - missing_in(other, record));
    for (const auto& [id, item] : other.grants) {
        request_record::series& known = record.grants[id];
        if (item.granted > known.granted || item.returned > known.returned) {
            known.granted = std::max(known.granted, item.granted);
            known.returned = std::max(known.returned, item.returned);
            known.grown_at = now;
        }
    }
}

} // namespace lagoonferry
