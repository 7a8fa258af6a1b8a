# Starts one Java process from the distribution; the scripts beside this one read it.
# It builds what isn't built, then replaces the shell, so that signals reach the program itself.

# Built means: the jar that starts the demo is there and no source is newer. A build that was broken
# off, or sources that were updated after it, would otherwise start programs that lack classes.
foxtail_is_built() {
    [ -d "$target/dist/lib" ] || return 1
    for jar in "$target"/foxtail-demo-*.jar; do
        [ -f "$jar" ] || return 1
        newer=$(find "$root" -path '*/src/main/*' -name '*.java' -newer "$jar" -print -quit)
        [ -z "$newer" ] || return 1
    done
}

foxtail_exec() {
    main_class="$1"
    shift
    root=$(CDPATH='' cd -- "$(dirname -- "$0")/.." && pwd)
    target="$root/foxtail-demo/target"
    if ! foxtail_is_built; then
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
