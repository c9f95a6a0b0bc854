#!/usr/bin/env bash
# Guards against builds that do not work together while VMs are replaced one after the other, as real processes: the program of an older commit, which is
# built from the history, and this build. The older program is kept in the build folder.
set -euo pipefail
old_commit=09587c2
build=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
old_build=$build/mixed-builds/$old_commit

# Prints the value of a variable of the build folder's cache.
cached() {
    sed -n "s/^$1:[A-Z]*=//p" "$build/CMakeCache.txt"
}

build_old() {
    git cat-file -e "$old_commit^{commit}" 2>/dev/null || {
        echo "mixed builds: commit $old_commit is not in this repository. The clone may be shallow; 'git fetch --unshallow' brings the history." >&2
        return 1
    }
    folder=$(mktemp -d)
    trap 'rm -rf "$folder"' EXIT
    mkdir "$folder/source"
    git archive "$old_commit" | tar -x -C "$folder/source"
    {
        cmake -S "$folder/source" -B "$folder/build" -G Ninja -DPLANTAINPOINT_RELAY_ONLY=ON -DCMAKE_BUILD_TYPE="$(cached CMAKE_BUILD_TYPE)" \
            -DCMAKE_CXX_FLAGS="$(cached CMAKE_CXX_FLAGS)" &&
            cmake --build "$folder/build" -j "${JOBS:-4}" --target plantainpoint-relay
    } >"$folder/log" 2>&1 || {
        tail -n 40 "$folder/log"
        echo "mixed builds: commit $old_commit could not be built" >&2
        return 1
    }
    mkdir -p "$old_build"
    # The name appears only when the program is complete, so that an interrupted run leaves none that is used.
    cp "$folder/build/plantainpoint-relay" "$old_build/plantainpoint-relay.new"
    mv "$old_build/plantainpoint-relay.new" "$old_build/plantainpoint-relay"
    rm -rf "$folder"
}

[ -x "$old_build/plantainpoint-relay" ] || build_old
exec python3 test/mixed_builds.py --build "$build" --old-build "$old_build" "${@:2}"
