/*
 * Documents: compare-and-swap assigns versions, and processes distribute documents among each other, also while the
 * key-value service is down.
 *
 * One document, processes 0 to 2 that run it, and operators that write it through the service. Each write has a unique
 * number as its content. Processes 1 and 2 start without a document; process 2 restarts. An execution without steps of
 * the service models an outage. Responses and messages carry the (version, content) pair and can arrive late.
 * Properties: the version at a process never decreases; a version has the same content everywhere; a process that is
 * ready runs a document; a write never replaces an accepted document that its author has not seen; and a refused write
 * has no effect.
 */

#define PROCESSES 3
#ifndef OPERATORS
#define OPERATORS 2
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 2                  /* writes per operator */
#endif
#define WRITES (OPERATORS * ATTEMPTS)

mtype = { OK, CONFLICT, UNAVAILABLE, UNKNOWN };

byte version = 1, content;          /* the document in the key-value service */
byte contents[WRITES + 2];          /* content of every version that took effect, indexed by version */
byte last_content;
byte refused;                       /* set of contents whose author received a refusal */

bool late_used;                     /* a delayed write that can still take effect */
byte late_expected, late_content;

byte running[PROCESSES], running_content[PROCESSES], known[PROCESSES];
bool ready[PROCESSES];

bool message_used;
byte message_to, message_version, message_content;

/* After a new version no delayed write can take effect, because versions are never reused. */
inline apply(c, base)
{
    assert(!((refused >> c) & 1));
    assert(base == version);        /* the author has seen the document that the write replaces */
    late_used = false;
    late_expected = 0;
    late_content = 0;
    version++;
    content = c;
    contents[version] = c
}

/* Heartbeats announce versions. A process never installs a version below the highest version that it knows of. */
inline install(p, v, c)
{
    if
#ifdef BROKEN_INSTALL_OLDER
    :: true ->
#else
    :: v > running[p] && v >= known[p] ->
#endif
        assert(v >= running[p]);
        running[p] = v;
        running_content[p] = c;
        known[p] = (v > known[p] -> v : known[p]);
        assert(c == contents[v])
    :: else
    fi
}

#define has_taken_effect(c) (contents[2] == (c) || contents[3] == (c))

/* A refused write has not taken effect and will not take effect later. */
inline refuse()
{
    refused = refused | (1 << written);
    assert(!has_taken_effect(written))
}

/* After a lost response, a conflict does not show whether the write took effect before it was replaced. */
#ifdef BROKEN_CONFLICT_AFTER_LOST_REPLY
#define is_refused (result == CONFLICT || result == UNAVAILABLE)
#else
#define is_refused ((result == CONFLICT || result == UNAVAILABLE) && !lost)
#endif

proctype operator()
{
    byte base, attempt, written;
    bool lost;
    mtype result;

end_operator:
    do
    :: atomic { attempt < ATTEMPTS && base == 0 ->
            base = version;
            attempt++;
            last_content++;
            written = last_content
        }
#ifdef BROKEN_INSTALL_BEFORE_CONFIRMED
    :: atomic { base != 0 && base + 1 > running[0] -> install(0, base + 1, written) }
#endif
    :: atomic { base != 0 ->
            if
#ifdef BROKEN_BLIND_WRITE
            :: apply(written, base); result = OK
#else
            :: version == base -> apply(written, base); result = OK
            :: version == base -> apply(written, base); lost = true
            :: version == base && !late_used ->
                late_used = true;
                late_expected = base;
                late_content = written;
                lost = true
            :: version != base && content == written -> result = OK     /* read-back shows its own write */
            :: version != base && content != written -> result = CONFLICT
            :: !lost -> result = UNAVAILABLE
#endif
            :: lost -> result = UNKNOWN                                 /* reported to the operator */
            fi;
            if
            :: is_refused -> refuse()
            :: else
            fi;
            if
            :: result != 0 -> base = 0; written = 0; lost = false; result = 0
            :: else
            fi
        }
    od
}

inline fetch_from_service(p)
{
    if
    :: install(p, version, content)
    :: !message_used -> message_used = true; message_to = p; message_version = version; message_content = content
    fi
}

/* A process queries a peer, or receives the peer's heartbeat and fetches the document from the peer. */
inline fetch_from_peer(p, q)
{
    if
    :: known[p] = (running[q] > known[p] -> running[q] : known[p]);
        install(p, running[q], running_content[q])
    :: known[p] = (running[q] > known[p] -> running[q] : known[p])      /* heartbeat only, the fetch fails */
    :: !message_used && running[q] != 0 ->
        message_used = true;
        message_to = p;
        message_version = running[q];
        message_content = running_content[q]
    fi
}

#ifdef BROKEN_UNREADY_PEER_ANSWERS
#define can_serve_peer(q) true
#else
#define can_serve_peer(q) ready[q]
#endif

#ifdef BROKEN_UNREADY_PEER_ANSWERS
#define set_any_response() any_response = true
#else
#define set_any_response() skip
#endif

#ifdef BROKEN_READY_BELOW_KNOWN
#define may_become_ready(p) (running[p] != 0)
#else
#ifdef BROKEN_UNREADY_PEER_ANSWERS
#define may_become_ready(p) (any_response && running[p] >= known[p])
#else
#define may_become_ready(p) (running[p] != 0 && running[p] >= known[p])
#endif
#endif

proctype process(byte p; byte q; byte r)
{
    bool any_response, restarted;

end_process:
    do
    :: atomic { fetch_from_service(p); set_any_response() }
    :: atomic { can_serve_peer(q) -> fetch_from_peer(p, q); set_any_response() }
    :: atomic { can_serve_peer(r) -> fetch_from_peer(p, r); set_any_response() }
    :: atomic { !ready[p] && may_become_ready(p) ->
            ready[p] = true;
            assert(running[p] != 0);
            assert(running[p] >= known[p])
        }
    :: atomic { p == 2 && !restarted ->
            restarted = true;
            any_response = false;
            ready[p] = false;
            running[p] = 0;
            running_content[p] = 0;
            known[p] = 0
        }
    od
}

proctype environment()
{
    byte c, base;

end_environment:
    do
    :: atomic { late_used && late_expected == version ->
            c = late_content;
            base = late_expected;
            apply(c, base);
            c = 0;
            base = 0
        }
    :: atomic { message_used ->
            install(message_to, message_version, message_content);
            message_used = false;
            message_to = 0;
            message_version = 0;
            message_content = 0
        }
    od
}

init
{
    atomic {
        byte i;
        running[0] = 1;
        known[0] = 1;
        ready[0] = true;
        run process(0, 1, 2);
        run process(1, 0, 2);
        run process(2, 0, 1);
        for (i : 1 .. OPERATORS) { run operator() }
        run environment()
    }
}
