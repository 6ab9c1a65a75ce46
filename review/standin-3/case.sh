# Runs the stand-in $1 for the case in the folder $2, from the repository's root. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case couldn't run.
program=target/review-3/$1
if [ ! -x target/turmericshift ] || [ ! -x "$program" ]; then
  echo "not built: the build of the deploy file, then review/build-3.sh" >&2
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
BINARY=target/turmericshift TMPDIR=$folder timeout 115 "$program" "$2/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
