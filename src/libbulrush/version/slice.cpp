#include "version/slice.h"

#include <xxhash.h>

namespace bulrush {

KeyHash hashOfKey(std::string_view key)
{
    return XXH3_64bits(key.data(), key.size());
}

} // namespace bulrush
