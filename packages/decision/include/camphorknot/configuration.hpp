/// @file
/// Configuration: the objects that operators define, their versions, the changes between versions and how
/// these reach every instance.
#pragma once

#include "camphorknot/configuration/distribution.hpp"
#include "camphorknot/configuration/objects.hpp"
#include "camphorknot/configuration/store.hpp"
