#!/usr/bin/env bash
# Guards against wrong output or a wrong exit code of plantainpoint-publish, run against the stand-in of the log, when two operators publish
# concurrently, files are invalid, answers are lost, appends take effect late or the log is down.
set -uo pipefail
build=${1:-build}
folder=$(mktemp -d)
log=127.$((16 + $$ % 200)).9.1:9700
"$build/log-standin" --listen "$log" --retention 3600000 >"$folder/log.txt" 2>&1 &
standin_pid=$!
trap 'kill "$standin_pid" 2>/dev/null; rm -rf "$folder"' EXIT
fail() {
    echo "publish_test: $*"
    exit 1
}
for _ in $(seq 100); do
    curl -s -o "$folder/ready" "http://$log/v1/counters" && break
    sleep 0.05
done

# Writes the files of the service desk with the given target for the first token in milliseconds.
write_service() {
    mkdir -p "$folder/desk"
    printf 'name: desk\nfirst_token: %sms\nroutes:\n  - method: GET\n    path: /slots\n    kind: lookup\n' "$1" >"$folder/desk/service.yaml"
    printf 'accounts:\n  - name: crew\n    rate: 20/s\n    burst: 40\n' >"$folder/desk/accounts.yaml"
    printf 'keys:\n  - id: k1\n    account: crew\n    key: very-secret\n' >"$folder/desk/keys.yaml"
}
# Usage: expect CODE TEXT OPTION... Publishes and checks the exit code, and that the output contains the text and no key.
expect() {
    local expected_code=$1 text=$2 exit_code
    shift 2
    "$build/plantainpoint-publish" --log "$log" --author anna "$@" "$folder/desk" >"$folder/out" 2>&1
    exit_code=$?
    [ "$exit_code" = "$expected_code" ] || fail "options '$*': expected exit code $expected_code, got $exit_code: $(cat "$folder/out")"
    grep -qF "$text" "$folder/out" || fail "options '$*': expected '$text' in the output, got: $(cat "$folder/out")"
    ! grep -q very-secret "$folder/out" || fail "options '$*': the output contains a key"
}
set_fault() {
    curl -s -o "$folder/fault" -d "$1" "http://$log/v1/fault" || fail "the log stand-in did not answer the fault request $1"
}

write_service 900
expect 0 "1 services are valid" --check
expect 0 "would become version 1" --dry-run
expect 0 "accepted, version 1"
expect 0 "accepted, version 1, unchanged"
expect 0 "accepted, version 1, unchanged" --base 0
write_service 800
expect 3 "conflict, made from version 0, the present version is 1" --base 0
expect 0 "desk: replace /first_token_target_ms 800" --dry-run
expect 0 "accepted, version 2" --base 1
write_service 700
set_fault '{"lose_answers": 1}'
expect 0 "accepted, version 3"
write_service 600
set_fault '{"late_append_ms": 1500}'
expect 0 "accepted, version 4"
sleep 1.6
expect 0 "accepted, version 4, unchanged"
write_service 500
set_fault '{"down_ms": 60000}'
expect 1 "nothing was sent" --timeout 1
set_fault '{"down_ms": 0}'
expect 0 "accepted, version 5"
sed -i 's,20/s,20,' "$folder/desk/accounts.yaml"
expect 2 "accounts.yaml:3: accounts[0].rate: "
! curl -s "http://$log/v1/read?from=0&max=100&wait_ms=0" | grep -qa very-secret || fail "the log contains a key"
echo "publish_test: ok"
