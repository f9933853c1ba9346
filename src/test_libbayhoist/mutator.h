/* SPDX-License-Identifier: BSD-3-Clause */
/* Texts that no sound writer wrote, derived from sound ones: the same from the same seed. */
#ifndef BAYHOIST_TEST_MUTATOR_H
#define BAYHOIST_TEST_MUTATOR_H

#include <glib.h>
#include <stdint.h>

/* A text that others are derived from. */
typedef struct {
	const char *text;
	size_t len;
} Sample;

/* Checks one text. */
typedef void (*MutatorCheck)(const char *text, size_t len, void *ctx);

unsigned mutator_get_rounds(unsigned otherwise);
void mutator_run(const Sample *sample, unsigned count, uint32_t seed, unsigned rounds, MutatorCheck check,
				 void *ctx);
int mutator_tell(void **state);

#endif
