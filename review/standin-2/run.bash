# Runs the program $1 of target/review-2 for the case in the folder of the calling script.
run_review_case() {
  local folder work status
  folder=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
  cd "$folder/../.." || exit 2
  work=$(mktemp -d) || exit 2
  WORLD_BINARY=target/peridotstep WORLD_DIRECTORY=$work \
    timeout -s KILL 115 "target/review-2/$1" "$folder/record.txt" "${TROUBLE:-1}"
  status=$?
  rm -rf "$work"
  case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
  esac
}
