/// @file
/// One instance: the composition of all decision modules, driven by the daemon and by the randomised runs
/// alike.
#pragma once

#include "camphorknot/node/control.hpp"
#include "camphorknot/node/traffic.hpp"
#include "camphorknot/node/views.hpp"
