/// @file
/// Look-up of the site set that serves a client address.
#pragma once

#include "camphorknot/lookup/lookup_table.hpp"
