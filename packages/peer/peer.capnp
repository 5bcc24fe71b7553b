# What nodes ask each other. Generated code is committed beside; tools/generate makes it anew.
@0x9dde96a78ba19e34;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pollengrade::wire");

# One node, as spread among nodes: core/cluster/member_type.h.
struct Member {
  address @0 :Text;
  operators @1 :Text;
  name @2 :Text;
  failureDomain @3 :Text;
  start @4 :UInt64;         # milliseconds since the epoch
  refutations @5 :UInt32;
  state @6 :UInt8;          # member_state
}

# A probe or its reply: constant in size.
struct Greeting {
  sender @0 :Member;
  updates @1 :List(Member);
  configDigest @2 :UInt64;
  configComplete @3 :Bool;
  stampWallMs @4 :Int64;    # the sender's hybrid logical clock
  stampCounter @5 :UInt32;
}

struct ConfigEntry {
  kind @0 :UInt8;           # config_kind
  name @1 :Text;
  version @2 :UInt64;       # the platform's
  text @3 :Data;            # empty where only the version is told
}

interface Peer {
  probe @0 (greeting :Greeting) -> (greeting :Greeting);
  # Probes another node for the caller.
  probeThrough @1 (target :Text) -> (reached :Bool);
  members @2 () -> (members :List(Member));
  push @3 (entries :List(ConfigEntry)) -> ();
  pull @4 (known :List(ConfigEntry)) -> (entries :List(ConfigEntry), complete :Bool);
}
