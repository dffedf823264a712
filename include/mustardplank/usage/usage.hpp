#pragma once

#include "mustardplank/usage/closer.hpp"
#include "mustardplank/usage/ledger.hpp"
#include "mustardplank/usage/meter.hpp"
