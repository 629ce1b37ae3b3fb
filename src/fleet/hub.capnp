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

struct Demand {
    account @0 :Text;
    requestsPerS @1 :Float32;
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
    demand @0 :List(Demand);
}

struct Update {
    revision @0 :UInt64;
    complete @1 :Bool;
    ageUs @2 :UInt64;
    changes @3 :List(Change);
}

struct Fleet {
    membersKnown @0 :UInt32;
    demand @1 :List(Demand);
    members @2 :List(Member);
    settled @3 :Bool;
}

struct HubMessage {
    union {
        hello @0 :Hello;
        report @1 :Report;
        update @2 :Update;
        fleet @3 :Fleet;
    }
}
