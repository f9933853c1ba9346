/* SPDX-License-Identifier: BSD-3-Clause */
/* The model of a typical engine, for tests in which prompts compete for engines. */
#ifndef TEST_SAMPLE_ENGINE_H
#define TEST_SAMPLE_ENGINE_H

#include "bayhoist/planner.h"

void sample_engine_init(BH__EngineModel *m);

#endif
