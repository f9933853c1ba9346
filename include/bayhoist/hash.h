/* SPDX-License-Identifier: BSD-3-Clause */
/* Hash functions for ids of names, rendezvous weights and prefixes of a prompt. */
#ifndef BAYHOIST_HASH_H
#define BAYHOIST_HASH_H

#include <stddef.h>
#include "bayhoist/types.h"

uint64_t bh__hash_name(const char *name);
uint64_t bh__hash_pair(uint64_t a, uint64_t b);

/* Hashes of a prompt's prefixes, shortest first. bh__prefix_get_tokens(i) is the length of prefix i. */
typedef struct {
	uint8_t count; /* valid entries of `hash` */
	uint64_t hash[BH__PREFIX_MAX];
} BH__PrefixChain;

void bh__prefix_chain_init(BH__PrefixChain *chain, const char *text, size_t len, uint32_t bytes_per_token);
uint32_t bh__prefix_get_tokens(unsigned index);

#endif
