/* SPDX-License-Identifier: BSD-3-Clause */
/* Version of the platform's store. State read from the store carries the version as of which it is valid, so
 * that any node can tell older state from newer, whatever the order in which it arrives and whichever node
 * sends it. A store that is restored from a backup hands out revisions again, but with a higher era. */
#ifndef BAYHOIST_STORE_VERSION_H
#define BAYHOIST_STORE_VERSION_H

#include "bayhoist/types.h"

#define BH__STORE_VERSION_TEXT_LEN 40 /* "era.revision" with its terminator */

typedef struct {
	uint64_t era;      /* grows each time that the store is restored from a backup */
	uint64_t revision; /* grows with each change of the store within an era; 0 in era 0: nothing is known */
} BH__StoreVersion;

int bh__store_version_compare(BH__StoreVersion a, BH__StoreVersion b);
bool bh__store_version_is_after(BH__StoreVersion a, BH__StoreVersion b);
BH__StoreVersion bh__store_version_max(BH__StoreVersion a, BH__StoreVersion b);
bool bh__store_version_is_zero(BH__StoreVersion v);
const char *bh__store_version_write(BH__StoreVersion v, char text[BH__STORE_VERSION_TEXT_LEN]);

#endif
