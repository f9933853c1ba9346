/* SPDX-License-Identifier: BSD-3-Clause */
/* Size limits and units shared by all modules. Times are in microseconds of a clock that the caller reads and
 * passes in; the library reads no clock itself. */
#ifndef BAYHOIST_TYPES_H
#define BAYHOIST_TYPES_H

#include <stdbool.h>
#include <stdint.h>

#define BH__NAME_LEN 64    /* longest resource, node or hall name, including the terminator */
#define BH__ADDRESS_LEN 48 /* "IP:port", including the terminator */
#define BH__PREFIX_MAX 24  /* prefix hashes of one prompt, at most */
#define BH__GANG_MAX 8     /* engines that hold one prompt together, at most */
#define BH__GRANT_MEMBERS_MAX                                                                                \
	17                      /* engines in one grant, at most: one that answers and 16 helpers that prefill */
#define BH__PARTS_MAX 3     /* pools that hold one prompt together, at most */
#define BH__ADAPTERS_MAX 16 /* adapters recorded for one endpoint, at most */
#define BH__AVOID_MAX 4     /* endpoints that a retry excludes, at most */
#define BH__BACKOFF_MAX 64  /* engines in backoff towards a node that it lists in an ask, at most */
#define BH__SIZE_CLASSES 4  /* size classes of prompts: up to 4k, 32k and 100k tokens, and above */
#define BH__NO_ENDPOINT 0u  /* endpoint id that stands for no endpoint */

#define BH__MS_US UINT64_C(1000)
#define BH__SECOND_US UINT64_C(1000000)

/* Size class of a prompt, 0 to BH__SIZE_CLASSES - 1. */
unsigned bh__size_class(uint64_t prompt_tokens);

#endif
