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

# Flags that the archive of classes and each program share.
FOXTAIL_FLAGS="-Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xlog:disable -Xlog:all=error:stderr"

# Writes the classes that every program loads into an archive, from which a start is several times
# faster. The archive is moved into place whole, since several programs may start at once; without
# one, or with one of other jars, a program starts as well, only slower. It is tried once a build.
foxtail_archive() {
    tried="$archive.tried"
    [ -w "$target/dist" ] || return 0
    if [ -f "$tried" ] && [ -z "$(find "$target/dist/lib" "$jar" -newer "$tried" | head -1)" ]; then
        return 0
    fi
    : >"$tried"
    # shellcheck disable=SC2086
    if java $FOXTAIL_FLAGS -XX:ArchiveClassesAtExit="$archive.$$" -cp "$class_path" \
        org.foxtailplank.process.WarmUp >"$archive.log" 2>&1; then
        mv -f "$archive.$$" "$archive"
    else
        rm -f "$archive" "$archive.$$"
    fi
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
    archive="$target/dist/foxtail.jsa"
    foxtail_archive
    if [ -f "$archive" ]; then
        FOXTAIL_FLAGS="$FOXTAIL_FLAGS -XX:SharedArchiveFile=$archive"
    fi
    # shellcheck disable=SC2086
    exec java -Xms16m -Xmx"${FOXTAIL_HEAP:-64m}" $FOXTAIL_FLAGS \
        ${FOXTAIL_JAVA_OPTS:-} -cp "$class_path" "$main_class" "$@"
}
