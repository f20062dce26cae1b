#!/bin/bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2. They need jsoncpp alone.
set -eu
cd "$(dirname "$0")/.."
folder=target/review-2
sources=review/standins-2
mkdir -p "$folder"
flags=(-std=c++20 -O1 -Wall -Wextra $(pkg-config --cflags jsoncpp))
g++ "${flags[@]}" -c "$sources/world.cpp" -o "$folder/world.o"
for source in "$sources"/*.cpp; do
    name=$(basename "$source" .cpp)
    [ "$name" = world ] && continue
    g++ "${flags[@]}" "$source" "$folder/world.o" -o "$folder/$name" \
        $(pkg-config --libs jsoncpp) -pthread
done
