#include "randomid.h"

#include <array>
#include <cstdint>
#include <random>

namespace bulrush::ctl {

std::string randomId()
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr std::size_t length = 32;
    std::random_device source;
    std::uniform_int_distribution<std::size_t> digit{0, digits.size() - 1};
    std::string id;
    while (id.size() < length)
        id += digits[digit(source)];
    return id;
}

} // namespace bulrush::ctl
