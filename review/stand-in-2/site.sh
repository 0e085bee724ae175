# Starts a small deployment of the daemon on loopback addresses: three control hosts and six entry hosts
# in three zones, with settings as deploy/settings.json renders them. Sourced by the scripts; the caller
# has set HERE (the folder of the case). Sets WORK, BASE and the ports, and ends what it started.
ROOT=$(cd "$HERE/../.." && pwd)
DAEMON="$ROOT/target/release/hemlockcrank"
STAND_IN="$ROOT/target/review-2/stand-in"
[ -x "$DAEMON" ] && [ -x "$STAND_IN" ] || { echo "build the deploy file and review/build-2.sh first" >&2; exit 2; }
WORK=$(mktemp -d)
BASE="127.$((64 + $$ % 60)).$((RANDOM % 200 + 20))"
OFFSET=$((RANDOM % 2000))
PEER=$((21000 + OFFSET)); OPERATOR=$((23000 + OFFSET)); CONTROL=$((25000 + OFFSET))
CALLER=$((27000 + OFFSET)); READY=$((29000 + OFFSET)); PLATFORM=$((31000 + OFFSET / 2)); MEMBER=$((32100 + OFFSET / 4))
declare -A PIDS
cleanup() {
    for pid in "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
    [ -z "$STAND_IN_PID" ] || kill -KILL "$STAND_IN_PID" 2>/dev/null
    wait 2>/dev/null
    rm -rf "$WORK"
}
STAND_IN_PID=
trap cleanup EXIT
trap 'exit 2' INT TERM
SEEDS="\"$BASE.11:$CONTROL\", \"$BASE.12:$CONTROL\", \"$BASE.13:$CONTROL\""

# settings IP ZONE CONTROL|FRONT BOOTSTRAP
settings() {
    local listen="" data="" faces=""
    if [ "$3" = FRONT ]; then
        listen="\"caller\": \"$1:$CALLER\","
        faces="\"ready\": \"$1:$READY\","
    else
        data="\"data_dir\": \"$WORK/data-$1\","
        faces="\"control\": \"$1:$CONTROL\","
    fi
    cat > "$WORK/$1.json" <<JSON
{
    "host": "$1", "zone": "$2",
    "listen": { $listen "peer": "$1:$PEER", "operator": "$1:$OPERATOR" },
    $data
    "seeds": [$SEEDS],
    "found_from_seeds": $4,
    "disk_losses": 1,
    "platform": { $faces "promotions": "$BASE.100:$PLATFORM" },
    "secrets": {
        "peer": "one-secret-for-all-hosts", "operator": "operators-of-the-site",
        "platform": "members-of-the-site", "key_digest": "digest-of-callers-keys"
    },
    "upstream": { "user": "hemlockcrank", "password": "not-used-here" },
    "limits": { "message_bytes": 1048576, "callers": 3000, "drain_ms": 4600, "transaction_drain_ms": 3000, "zone_drain_ms": 2500 },
    "log": "json"
}
JSON
}

# start_host IP: the command of the deploy file
start_host() {
    (cd "$ROOT" && exec "$DAEMON" --settings "$WORK/$1.json") >> "$WORK/$1.log" 2>&1 &
    PIDS[$1]=$!
}

ZONES=(abbasiya heliopolis maadi)
for i in 0 1 2; do settings "$BASE.$((11 + i))" "${ZONES[$i]}" CONTROL true; done
FRONT_ZONES=(abbasiya heliopolis maadi abbasiya heliopolis abbasiya)
for i in 0 1 2 3 4 5; do settings "$BASE.$((21 + i))" "${FRONT_ZONES[$i]}" FRONT true; done
for i in 11 12 13 21 22 23 24 25 26; do start_host "$BASE.$i"; done

# After the first start "bootstrap" is false, as DEPLOY.md says.
sleep 1
for file in "$WORK"/*.json; do sed -i 's/"found_from_seeds": true/"found_from_seeds": false/' "$file"; done

# obey: carries out the lines of the stand-in on standard input; the others are printed
obey() {
    local word host
    while read -r word host; do
        case $word in
            KILL) kill -KILL "${PIDS[$host]}"; wait "${PIDS[$host]}" 2>/dev/null ;;
            TERM) kill -TERM "${PIDS[$host]}" ;;
            START)
                # graceS is 6: what still runs is killed.
                kill -KILL "${PIDS[$host]}" 2>/dev/null; wait "${PIDS[$host]}" 2>/dev/null
                start_host "$host" ;;
            *) echo "$word $host" ;;
        esac
    done
}
