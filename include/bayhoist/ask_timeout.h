/* SPDX-License-Identifier: BSD-3-Clause */
/* How long a node waits for a scheduler that does not answer, before it places a prompt by itself. */
#ifndef BAYHOIST_ASK_TIMEOUT_H
#define BAYHOIST_ASK_TIMEOUT_H

#include "bayhoist/message.h"

/* Time for an answer to one ask; after it the ask is repeated, or the node places the prompt itself. */
#define BH__ASK_REPEAT_US (40 * BH__MS_US)

uint64_t bh__ask_get_timeout_us(const BH__Ask *ask);

#endif
