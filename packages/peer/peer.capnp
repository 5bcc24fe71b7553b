# RPC interface between nodes. The generated code is committed next to this file; tools/generate updates it.
@0x9dde96a78ba19e34;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pollengrade::wire");

# A node as disseminated by gossip: core/cluster/member_type.h.
struct Member {
  address @0 :Text;
  operators @1 :Text;
  name @2 :Text;
  failureDomain @3 :Text;
  start @4 :UInt64;         # milliseconds since the epoch
  refutations @5 :UInt32;
  state @6 :UInt8;          # member_state
  capacity @7 :UInt32;      # thousandths of a core
}

# How current what a node knows is: core/config/node_knowledge.h.
struct Knowledge {
  configDigest @0 :UInt64;
  registryChanged @1 :UInt64; # registry revision of the latest server entry change known to the sender
  registryEra @2 :UInt64;     # the store's era of that revision
  confirmationAgeMs @3 :UInt32 = 0xffffffff; # age of the store's newest confirmation; the default is for none
}

# A gossip message, sent as a probe and as its reply; its size does not depend on the number of nodes.
struct Greeting {
  sender @0 :Member;
  updates @1 :List(Member);
  configDigest @2 :UInt64;
  configComplete @3 :Bool;
  stampWallMs @4 :Int64;    # the sender's hybrid logical clock
  stampCounter @5 :UInt32;
  registryChanged @6 :UInt64; # registry revision of the latest server entry change known to the sender
  registryEra @7 :UInt64;     # the store's era of that revision; 0 from builds that know no era
  confirmationAgeMs @8 :UInt32 = 0xffffffff; # age of the store's newest confirmation; the default is for none
}

# A server's registry entry: core/upstreams/server_entry.h.
struct ServerEntry {
  name @0 :Text;
  startedMs @1 :Int64;      # milliseconds since the epoch
  service @2 :Text;
  address @3 :Text;
  failureDomain @4 :Text;
  slots @5 :UInt32;
  isLeaving @6 :Bool;
  warmupLeftMs @7 :Int64;
  version @8 :UInt64;       # the platform's revision
  state @9 :UInt8;          # entry_state
  doubtLeftMs @10 :UInt32 = 2500; # if removal is pending: time until the entry counts as removed
  era @11 :UInt64;          # the store's era of the revision
}

struct Field {
  name @0 :Text;
  value @1 :Text;
}

# A server that stated in a reply that it leaves: core/upstreams/departures.h.
struct DepartedServer {
  id @0 :Text;              # name@start, as in the registry
  ageMs @1 :UInt32;         # time since it stated it
}

# A caller's query as sent to a holder: core/queries/delegation.h.
struct DelegatedRequest {
  id @0 :Text;
  host @1 :Text;
  method @2 :Text;
  target @3 :Text;
  fields @4 :List(Field);
  body @5 :Data;
  elapsedUs @6 :Int64;
  leftUs @7 :Int64;
  leastVersion @8 :UInt64;
  departed @9 :List(DepartedServer); # servers that the holder may not know to leave
  routesVersion @10 :UInt64; # of the routes in force at the sender; 0 from builds that do not say it
}

struct DelegatedAnswer {
  kind @0 :UInt8;            # index of the alternative in forward_answer, core/queries/forward_type.h
  version @1 :UInt64;
  isStale @2 :Bool;
  status @3 :UInt32;         # proxied
  fields @4 :List(Field);    # proxied
  body @5 :Data;             # proxied: body; gathered: records
  signatures @6 :List(Text); # gathered
  missing @7 :UInt32;        # gathered
  reason @8 :UInt8;          # refused, failed
  retryAfterUs @9 :Int64;    # refused
  tookUs @10 :Int64;         # time from when the holder read the query to its answer
  knowledge @11 :Knowledge;
  departed @12 :List(DepartedServer); # servers that stated it while the query ran
}

struct ConfigEntry {
  kind @0 :UInt8;           # config_kind
  name @1 :Text;
  version @2 :UInt64;       # routes: the number in their text; others: the platform's revision
  text @3 :Data;            # empty where only the version is sent
  era @4 :UInt64;           # the store's era in which the object was written; 0 for routes
}

interface Peer {
  probe @0 (greeting :Greeting) -> (greeting :Greeting);
  # Probes another node for the caller.
  probeThrough @1 (target :Text) -> (reached :Bool);
  # Returns all members except those whose fingerprints the caller already has: core/cluster/membership.h.
  members @2 (known :List(UInt64)) -> (members :List(Member));
  push @3 (entries :List(ConfigEntry)) -> ();
  pull @4 (known :List(ConfigEntry)) -> (entries :List(ConfigEntry), complete :Bool);
  # Returns the registry's changes after a revision; a reply with revision 0 means that there is nothing to send.
  servers @5 (laterThan :UInt64, era :UInt64)
      -> (revision :UInt64, isWhole :Bool, items :List(ServerEntry), era :UInt64);
  # Runs a query for a node that does not hold the connections to the query's shards.
  forward @6 (request :DelegatedRequest) -> (answer :DelegatedAnswer);
}
