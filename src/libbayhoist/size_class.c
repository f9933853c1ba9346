/* SPDX-License-Identifier: BSD-3-Clause */
/* Classes of prompts by their length, for queues and for histograms. */
#include "bayhoist/types.h"

static const uint64_t ClassLimitTokens_[BH__SIZE_CLASSES - 1] = {4096, 32768, 102400};

/* Returns the class of a prompt: 0 for the shortest. */
unsigned bh__size_class(uint64_t prompt_tokens)
{
	unsigned c = 0;
	while (c < BH__SIZE_CLASSES - 1 && prompt_tokens > ClassLimitTokens_[c])
		c++;
	return c;
}
