/* SPDX-License-Identifier: BSD-3-Clause */
/* Version of the platform's store. State read from the store carries the version as of which it is valid, so
 * that any node can tell older state from newer, whatever the order in which it arrives and whichever node
 * sends it. A store that is restored from a backup hands out revisions again, but with a higher era. */
#ifndef BAYHOIST_PLACE_H
#define BAYHOIST_PLACE_H

#include "bayhoist/types.h"

#define BH__PLACE_TEXT_LEN 40 /* "era.revision" with its terminator */

typedef struct {
	uint64_t era;      /* grows each time that the store is restored from a backup */
	uint64_t revision; /* grows with each change of the store within an era; 0 in era 0: nothing is known */
} BH__Place;

int bh__place_compare(BH__Place a, BH__Place b);
bool bh__place_is_after(BH__Place a, BH__Place b);
BH__Place bh__place_max(BH__Place a, BH__Place b);
bool bh__place_is_start(BH__Place p);
const char *bh__place_write(BH__Place p, char text[BH__PLACE_TEXT_LEN]);

#endif
