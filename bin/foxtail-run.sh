# Starts one Java process from the distribution; the scripts beside this one read it.
# It builds what isn't built, then replaces the shell, so that signals reach the program itself.

foxtail_exec() {
    main_class="$1"
    shift
    root=$(CDPATH='' cd -- "$(dirname -- "$0")/.." && pwd)
    target="$root/foxtail-demo/target"
    if [ ! -d "$target/dist/lib" ]; then
        echo "building foxtailplank" >&2
        (cd "$root" && mvn -q -B -DskipTests package) >&2 || exit 1
    fi
    for jar in "$target"/foxtail-demo-*.jar; do
        class_path="$jar:$target/dist/lib/*"
    done
    # shellcheck disable=SC2086
    exec java -Xms16m -Xmx"${FOXTAIL_HEAP:-64m}" -Xss512k -XX:+UseSerialGC \
        -XX:TieredStopAtLevel=1 ${FOXTAIL_JAVA_OPTS:-} -cp "$class_path" "$main_class" "$@"
}
