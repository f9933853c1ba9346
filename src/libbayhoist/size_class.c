/* SPDX-License-Identifier: BSD-3-Clause */
/* Size classes of prompts, for queues and histograms. */
#include "bayhoist/types.h"

/* Longest prompt of each class but the last, in tokens. */
static const uint64_t ClassLimitTokens_[BH__SIZE_CLASSES - 1] = {4096, 32768, 102400};

/* Returns the size class of a prompt with this number of tokens; 0 is the class of the shortest prompts. */
unsigned bh__size_class(uint64_t prompt_tokens)
{
	unsigned c = 0;
	while (c < BH__SIZE_CLASSES - 1 && prompt_tokens > ClassLimitTokens_[c])
		c++;
	return c;
}
