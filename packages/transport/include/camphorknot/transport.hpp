/// @file
/// Messaging between daemons: msgpack in length-prefixed TCP frames, after mutual authentication with the
/// fleet secret.
#pragma once

#include "camphorknot/transport/codec.hpp"
#include "camphorknot/transport/handshake.hpp"
#include "camphorknot/transport/peer_network.hpp"
