/* SPDX-License-Identifier: BSD-3-Clause */
/* Sizes and small value types shared by all modules. Times are microseconds on a clock that the caller
 * passes in; the library reads no clock of its own. */
#ifndef BAYHOIST_TYPES_H
#define BAYHOIST_TYPES_H

#include <stdbool.h>
#include <stdint.h>

#define BH__NAME_LEN 64    /* longest resource, node or hall name, with its terminator */
#define BH__ADDRESS_LEN 48 /* "IP:port" with its terminator */
#define BH__PREFIX_MAX 24  /* most prefix hashes that describe one prompt */
#define BH__GANG_MAX 8     /* most engines that hold one prompt together */
#define BH__GRANT_MEMBERS_MAX                                                                                \
	17                      /* most engines that one grant names: one that answers and 16 that help it read */
#define BH__PARTS_MAX 3     /* most pools that hold one prompt together */
#define BH__ADAPTERS_MAX 16 /* most adapters that one endpoint is known to hold */
#define BH__AVOID_MAX 4     /* most endpoints that a retry asks to avoid */
#define BH__BACKOFF_MAX 64  /* most engines that want nothing of a node which it names in an ask */
#define BH__SIZE_CLASSES 4  /* of prompts: up to 4k, 32k and 100k tokens, and above */
#define BH__NO_ENDPOINT 0u  /* an endpoint id that names none */

#define BH__MS_US UINT64_C(1000)
#define BH__SECOND_US UINT64_C(1000000)

unsigned bh__size_class(uint64_t prompt_tokens);

#endif
