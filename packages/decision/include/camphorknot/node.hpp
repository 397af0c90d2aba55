/// @file
/// One instance, composed of all decision modules. The daemon and the randomised tests both drive it through
/// these headers.
#pragma once

#include "camphorknot/node/control.hpp"
#include "camphorknot/node/traffic.hpp"
#include "camphorknot/node/views.hpp"
