/* SPDX-License-Identifier: BSD-3-Clause */
/* Hash functions based on xxHash. A prompt has two prefix hashes for each doubling of the length, so at most
 * 21 of them describe a prompt of a million tokens. */
#include "bayhoist/hash.h"

#include <string.h>
#include <xxhash.h>

#define FIRST_PREFIX_TOKENS_ 1024u

/* Returns the id of `name`. The id is never 0, which stands for "none". */
uint64_t bh__hash_name(const char *name)
{
	uint64_t id = XXH64(name, strlen(name), 0);
	return id ? id : 1;
}

/* Returns a hash of two ids, which is never 0. The order matters: (a, b) and (b, a) have different hashes. */
uint64_t bh__hash_pair(uint64_t a, uint64_t b)
{
	uint64_t pair[2] = {a, b};
	uint64_t id = XXH64(pair, sizeof pair, 1);
	return id ? id : 1;
}

/* Returns the length in tokens of the prefix with number `index`: 1024, 1536, 2048, 3072, 4096, ... */
uint32_t bh__prefix_get_tokens(unsigned index)
{
	uint32_t octave = FIRST_PREFIX_TOKENS_ << (index / 2);
	return index % 2 ? octave + octave / 2 : octave;
}

/* Fills `chain` with the hashes of all prefixes that fit in `text`, which has `len` bytes. A token counts as
 * `bytes_per_token` bytes. */
void bh__prefix_chain_init(BH__PrefixChain *chain, const char *text, size_t len, uint32_t bytes_per_token)
{
	XXH64_state_t *state = XXH64_createState();
	size_t hashed = 0;

	chain->count = 0;
	XXH64_reset(state, 2);
	for (unsigned i = 0; i < BH__PREFIX_MAX; i++) {
		size_t end = (size_t)bh__prefix_get_tokens(i) * bytes_per_token;
		if (end > len)
			break;
		XXH64_update(state, text + hashed, end - hashed);
		hashed = end;
		chain->hash[chain->count++] = XXH64_digest(state);
	}
	XXH64_freeState(state);
}
