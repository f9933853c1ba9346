/* SPDX-License-Identifier: BSD-3-Clause */
/* The model of a typical engine. */
#include "sample_engine.h"

/* Sets the model to that of an engine that holds 344,000 tokens and prefills 154 a millisecond. */
void sample_engine_init(BH__EngineModel *m)
{
	bh__engine_model_init(m);
	m->slots = 12;
	m->kv_tokens = 344000;
	m->steps_per_iteration = 38;
	m->step_ms = 1.3;
	m->per_stream_ms = 0.001;
	m->per_kilotoken_ms = 0.002;
	m->prefill_tokens_per_ms = 154;
	m->per_megapair_ms = 0.16;
}
