@0xc2b6f3a18e5d7049;
# Messages between the daemons of a fleet. Durations without a unit in the name are in nanoseconds.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("zinniaferry::fleet::wire");

struct ProcessId {
  vm @0 :Text;
  incarnation @1 :UInt64;
}

struct Heartbeat {
  configVersion @0 :UInt64;
  configDigest @1 :Data;
  serviceAgeMs @2 :UInt32;   # Capped at one day, which stands for never.
  leaving @3 :Bool;
  wantsReply @4 :Bool;
  heardHashes @5 :List(UInt64);
  heardAgesMs @6 :List(UInt16);   # One for each hash.
}

struct ConfigRequest {
  haveVersion @0 :UInt64;
}

struct ConfigReply {
  version @0 :UInt64;
  baseVersion @1 :UInt64;
  digest @2 :Data;
  body @3 :Data;
}

struct LeaseRequest {
  group @0 :UInt32;
  maxVms @1 :UInt32;
  round @2 :UInt64;
}

struct LeaseReply {
  group @0 :UInt32;
  granted @1 :Bool;
  round @2 :UInt64;
  holder @3 :ProcessId;
}

struct LeaseRelease {
  group @0 :UInt32;
}

struct LoanWant {
  account @0 :Text;
  loanId @1 :UInt64;
  demand @2 :Float64;
  tokens @3 :Float64;
}

struct LoanRequest {
  term @0 :UInt64;
  wants @1 :List(LoanWant);
}

struct LoanShare {
  account @0 :Text;
  loanId @1 :UInt64;
  rate @2 :Float64;
  cap @3 :Float64;
  tokens @4 :Float64;
}

struct LoanReply {
  term @0 :UInt64;
  shares @1 :List(LoanShare);
  refused @2 :List(UInt64);
}

struct LoanReturn {
  loanIds @0 :List(UInt64);
}

struct PermitRequest {
  server @0 :Text;
  permitId @1 :UInt64;
  count @2 :UInt32;
  term @3 :UInt64;
}

struct PermitReply {
  server @0 :Text;
  permitId @1 :UInt64;
  granted @2 :UInt32;
  term @3 :UInt64;
}

struct PermitReturn {
  server @0 :Text;
  permitId @1 :UInt64;
  serverWarm @2 :Bool;
}

struct ClaimRequest {
  claimId @0 :UInt64;
  keyHash @1 :UInt64;
  keyHash2 @2 :UInt64;
  firstSentUnixMs @3 :Int64;
  maxVms @4 :UInt32;
  attempt @5 :UInt32;
}

enum Verdict {
  acknowledged @0;
  taken @1;
  notVoter @2;
}

struct ClaimReply {
  claimId @0 :UInt64;
  holder @1 :UInt64;
  attempt @2 :UInt32;
  result @3 :Verdict;
}

struct ClaimRelease {
  claimId @0 :UInt64;
  keyHash @1 :UInt64;
  keyHash2 @2 :UInt64;
  attempt @3 :UInt32;
}

struct RecordsRequest {
  round @0 :UInt64;
  after @1 :UInt64;
}

struct ClaimRecord {
  keyHash @0 :UInt64;
  keyHash2 @1 :UInt64;
  claimer @2 :UInt64;
  claimId @3 :UInt64;
  age @4 :UInt64;
  attempt @5 :UInt32;
}

struct RecordsReply {
  round @0 :UInt64;
  after @1 :UInt64;
  next @2 :UInt64;
  voter @3 :Bool;
  last @4 :Bool;
  records @5 :List(ClaimRecord);
}

struct Message {
  from @0 :ProcessId;
  union {
    heartbeat @1 :Heartbeat;
    configRequest @2 :ConfigRequest;
    configReply @3 :ConfigReply;
    leaseRequest @4 :LeaseRequest;
    leaseReply @5 :LeaseReply;
    leaseRelease @6 :LeaseRelease;
    loanRequest @7 :LoanRequest;
    loanReply @8 :LoanReply;
    loanReturn @9 :LoanReturn;
    permitRequest @10 :PermitRequest;
    permitReply @11 :PermitReply;
    permitReturn @12 :PermitReturn;
    claimRequest @13 :ClaimRequest;
    claimReply @14 :ClaimReply;
    claimRelease @15 :ClaimRelease;
    recordsRequest @16 :RecordsRequest;
    recordsReply @17 :RecordsReply;
  }
}
