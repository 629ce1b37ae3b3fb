@0xb3f1c6a5d8e24971;
# Messages between daemons. A subscriber opens a TCP connection to a hub. Each frame carries one packed
# HubMessage, preceded by its size in bytes as a 32-bit big-endian integer.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("zinniaferry::fleet::wire");

struct Change {
    # A new value of a platform entry, or its removal.
    key @0 :Text;
    removed @1 :Bool;
    value @2 :Data;
    revision @3 :UInt64;
    unchanged @4 :Bool;  # In a snapshot: the subscriber knows the entry, and the value is left out.
}

struct Member {
    # A daemon of the fleet.
    vm @0 :Text;
    address @1 :Text;
    linkMbps @2 :UInt32;  # 0 if not known.
    dataCentre @3 :Text;  # Of its VM; empty from older versions.
}

struct Hello {
    # Subscriber to hub, once: identifies the subscriber and its replica's revision (0 for none).
    vm @0 :Text;
    address @1 :Text;
    incarnation @2 :UInt64;
    revision @3 :UInt64;
    acceptsCompressed @4 :Bool;  # The subscriber reads Compressed messages.
    linkMbps @5 :UInt32;  # 0 if not known.
    membersKnown @6 :UInt32;  # The size of the fleet; 0 if the subscriber does not know it.
    era @7 :UInt64 = 0xffffffffffffffff;  # Of the replica's revisions; the default is sent by older versions.
    dataCentre @8 :Text;  # As in Member.
}

struct ServiceLoad {
    # Load of a service, see admission::service_load. An entry with a value out of range is ignored.
    service @0 :Text;
    running @1 :UInt32;
    waiting @2 :UInt32;
    completions @3 :UInt32;  # In 100 s.
    byPriority @4 :List(UInt32);  # Arrivals and rejections in 100 s of each priority in turn; zeros at the end left out.
}

struct Report {
    # Subscriber to hub, periodically: whether this hub grants the subscriber's account requests, and how many backend
    # servers the subscriber selects in a second. The hub repeats the latest number in its updates.
    primary @0 :Bool;
    selectionRate @1 :Float32;
    number @2 :UInt64;
    primaryTimeUs @3 :UInt32 = 0xffffffff;  # See report_message; the default is sent by older versions.
    loads @4 :List(ServiceLoad);  # Of the subscriber; older versions send none.
}

struct Ask {
    # Subscriber to hub: asks for requests of an account; `number` is repeated in the Grant.
    number @0 :UInt64;
    account @1 :Text;
    primaryTimeUs @2 :UInt32 = 0xffffffff;  # As in Report.
}

struct Grant {
    # Hub to subscriber: the answer to an Ask.
    number @0 :UInt64;
    requests @1 :UInt32;
    retryAfterUs @2 :UInt64;
}

struct Update {
    # Hub to subscriber: changes of platform entries, or a snapshot of all when `complete` is set.
    revision @0 :UInt64;
    complete @1 :Bool;
    ageUs @2 :UInt64;
    changes @3 :List(Change);
    lastReport @4 :UInt64;  # Number of the subscriber's latest report; 0 before the first.
    loads @5 :List(ServiceLoad);  # Sums over the hub and its subscribers; none to those that use another primary hub.
    era @6 :UInt64 = 0xffffffffffffffff;  # Of all revisions in the message; the default is sent by older versions.
}

struct Fleet {
    # Hub to subscriber, periodically: the fleet's members; the list is empty while it has not changed.
    membersKnown @0 :UInt32;
    members @1 :List(Member);
    settled @2 :Bool;
    selectionRate @3 :Float32;  # Sum over the hub and its subscribers.
}

struct Compressed {
    # A HubMessage, packed and then compressed by raw deflate.
    size @0 :UInt32;  # Before the compression.
    bytes @1 :Data;
}

struct HubMessage {
    union {
        hello @0 :Hello;
        report @1 :Report;
        update @2 :Update;
        fleet @3 :Fleet;
        ask @4 :Ask;
        grant @5 :Grant;
        compressed @6 :Compressed;
    }
}
