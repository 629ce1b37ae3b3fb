@0xb3f1c6a5d8e24971;
# Messages between daemons. A subscriber connects to a hub; both send frames of one message each.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("zinniaferry::fleet::wire");

struct Change {
    key @0 :Text;
    removed @1 :Bool;
    value @2 :Data;
    revision @3 :UInt64;
}

struct Member {
    vm @0 :Text;
    address @1 :Text;
}

struct Hello {
    vm @0 :Text;
    address @1 :Text;
    incarnation @2 :UInt64;
    revision @3 :UInt64;
}

struct Report {
    primary @0 :Bool;
}

struct Ask {
    number @0 :UInt64;
    account @1 :Text;
}

struct Grant {
    number @0 :UInt64;
    requests @1 :UInt32;
    retryAfterUs @2 :UInt64;
}

struct Update {
    revision @0 :UInt64;
    complete @1 :Bool;
    ageUs @2 :UInt64;
    changes @3 :List(Change);
}

struct Fleet {
    membersKnown @0 :UInt32;
    members @1 :List(Member);
    settled @2 :Bool;
}

struct HubMessage {
    union {
        hello @0 :Hello;
        report @1 :Report;
        update @2 :Update;
        fleet @3 :Fleet;
        ask @4 :Ask;
        grant @5 :Grant;
    }
}
