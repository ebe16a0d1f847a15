# Invalid settings are reported by name with exit code 2, and nothing is started.
set -u
. tests/system/common.bash

expect_usage_error() {
  local expected=$1
  shift
  output=$("$@" 2>&1)
  expect_equal $? 2
  case $output in
    *"$expected"*) ;;
    *) expect_equal "$output" "$expected" ;;
  esac
}

expect_usage_error "unknown command" "$binary" dance
expect_usage_error "--id is required" "$binary" serve
expect_usage_error "from 0 to 65535" "$binary" serve --id a --failure-domain d --region r --platform-url x --port 70000
expect_usage_error "invalid option" "$binary" serve --colour red
expect_usage_error "must be shops or funiculars" "$binary" demo --deployment ships
expect_usage_error "PERIDOTSTEP_COLOUR" env PERIDOTSTEP_COLOUR=red "$binary" status
expect_usage_error "from 3 to 7" env PERIDOTSTEP_LOG_LEVEL=9 "$binary" demo
expect_usage_error "mix must be" "$binary" load --mix order
expect_usage_error "--change-id" "$binary" apply --platform-url http://127.0.0.1:1 --base 0 --author a --reason r \
  --change-id 'a b' /dev/null
for command in serve demo standin apply show history status fault load replay; do
  "$binary" "$command" --help >/dev/null || exit 1
done
"$binary" --version | grep -q '^peridotstep [0-9]' || exit 1
