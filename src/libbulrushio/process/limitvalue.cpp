#include "process/limitvalue.h"

#include <cmath>

namespace bulrush::io {

std::optional<double> limitValue(const Json::Value &json)
{
    if (!json.isNumeric())
        return std::nullopt;
    const double value = json.asDouble();
    return std::isfinite(value) && value >= 0.0 ? std::optional{value} : std::nullopt;
}

} // namespace bulrush::io
