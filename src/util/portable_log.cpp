#include "util/portable_log.h"

#include <cmath>
#include <numbers>

namespace lagoonferry {

// Only additions, multiplications and divisions, each of which IEEE 754 rounds in one way. The build switches off their
// contraction.
double portable_log(double value)
{
    int exponent = 0;
    double fraction = std::frexp(value, &exponent);
    if (fraction < std::numbers::sqrt2 / 2) {
        fraction *= 2;
        --exponent;
    }
    // log(f) = 2 artanh(z) with z = (f - 1) / (f + 1); |z| < 0.172, so that the terms left out are below 2^-56 of the
    // sum.
    constexpr int last_power = 21;
    const double z = (fraction - 1) / (fraction + 1);
    const double square = z * z;
    double series = 0;
    for (int power = last_power; power > 1; power -= 2) {
        series = (series + 1.0 / power) * square;
    }
    // The two parts of ln 2 keep the product with the exponent exact in its upper part.
    constexpr double ln2_high = 0x1.62e42fee00000p-1;
    constexpr double ln2_low = 0x1.a39ef35793c76p-33;
    return exponent * ln2_high + (2 * z + (2 * z * series + exponent * ln2_low));
}

} // namespace lagoonferry
