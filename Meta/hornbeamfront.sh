#!/usr/bin/env bash
# Development commands: build, run the example, test, check the models, format and lint. Installs missing packages.
set -euo pipefail
cd "$(dirname "$0")/.."

packages=(g++ cmake ninja-build pkg-config clang-format clang-tidy curl
  libwebsockets-dev libwebsockets-evlib-uv libuv1-dev libcapnp-dev capnproto libgoogle-glog-dev libcli11-dev
  libyaml-cpp-dev prometheus-cpp-dev nlohmann-json3-dev libyajl-dev librapidcheck-dev libgtest-dev libssl-dev
  libboost1.81-dev spin gnuplot-nox)

install_packages() {
  if dpkg -s "${packages[@]}" >/dev/null 2>&1; then return; fi
  local as_root=()
  if [ "$(id -u)" -ne 0 ]; then as_root=(sudo); fi
  "${as_root[@]}" apt-get update -q
  "${as_root[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${packages[@]}"
}

build() {
  install_packages >&2
  cmake -G Ninja -S . -B Build >/dev/null
  cmake --build Build >&2
}

sources() {
  git ls-files '*.cpp' '*.h' | grep -v '\.capnp\.'
}

check_format() {
  sources | xargs clang-format --dry-run --Werror
}

check_lint() {
  git ls-files 'Libraries/*.cpp' 'Services/*.cpp' 'Utilities/*.cpp' 'platform/*.cpp' |
    xargs -P "$(nproc)" -n 4 clang-tidy -p Build --quiet 2>/dev/null
}

# The sanitizers of the compiler over the unit tests, the platform tests and the soak; ends with the first report.
sanitize() {
  install_packages >&2
  cmake -G Ninja -S . -B BuildSanitized -DHORNBEAM_SANITIZE=ON >/dev/null
  cmake --build BuildSanitized --target hornbeamfront UnitTests PlatformTests soak >&2
  # KJ switches stacks for its fibers; leaks of global registries are not of interest.
  export ASAN_OPTIONS=detect_leaks=0:abort_on_error=0 UBSAN_OPTIONS=print_stacktrace=1 RC_PARAMS=seed=20261204
  BuildSanitized/UnitTests
  BuildSanitized/PlatformTests
  BuildSanitized/soak --program BuildSanitized/hornbeamfront --directory BuildSanitized/soak --seed "${1:-1}" \
    --seeds "${2:-10}" --seconds 10
}

run_example() { build; Meta/run-example.sh; }

case "${1:-}" in
  build) build ;;
  run) run_example ;;
  test) build; ctest --test-dir Build --output-on-failure "${@:2}" ;;
  sanitize) sanitize "${@:2}" ;;
  check-model) install_packages >&2; Meta/check-model.sh ;;
  format) sources | xargs clang-format -i ;;
  check-format) install_packages >&2; check_format ;;
  lint) build; check_lint ;;
  *)
    echo "usage: Meta/hornbeamfront.sh build|run|test|sanitize [SEED [SEEDS]]|check-model|format|check-format|lint" >&2
    exit 2
    ;;
esac
