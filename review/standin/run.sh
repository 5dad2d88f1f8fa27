# Sourced by the cases' run.sh, which sets `number`: runs the driver of that case at the repository's root, in a temporary
# folder of its own that is removed afterwards, for 115 seconds at most. The driver ends every process that it starts.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
driver=target/review/case-$number
for needed in "$driver" target/review/host target/myrtlerouted; do
  if [ ! -x "$needed" ]; then
    echo "can't run: $needed is missing; run the deploy file's build and review/build.sh first" >&2
    exit 2
  fi
done
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout -k 2 115 "$driver" "review/$number/record.txt" &
child=$!
trap 'kill "$child" 2> /dev/null; wait "$child"; exit 2' INT TERM   # what the driver started ends with it
wait "$child"
status=$?
case $status in
  0 | 1) exit $status ;;
  2) exit 2 ;;
  *) echo "can't run: the driver ended with status $status" >&2; exit 2 ;;
esac
