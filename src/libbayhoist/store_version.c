/* SPDX-License-Identifier: BSD-3-Clause */
/* Order and text form of store versions. */
#include "bayhoist/store_version.h"

#include <inttypes.h>
#include <stdio.h>

/* Returns a number below 0 if `a` is older than `b`, 0 if they are equal, and a number above 0 if `a` is
 * newer. */
int bh__store_version_compare(BH__StoreVersion a, BH__StoreVersion b)
{
	if (a.era != b.era)
		return a.era < b.era ? -1 : 1;
	if (a.revision != b.revision)
		return a.revision < b.revision ? -1 : 1;
	return 0;
}

/* Returns true if `a` is newer than `b`. */
bool bh__store_version_is_after(BH__StoreVersion a, BH__StoreVersion b)
{
	return bh__store_version_compare(a, b) > 0;
}

/* Returns the newer of two versions. */
BH__StoreVersion bh__store_version_max(BH__StoreVersion a, BH__StoreVersion b)
{
	return bh__store_version_is_after(b, a) ? b : a;
}

/* Returns true for the zero version, which means that no state of the store is known. */
bool bh__store_version_is_zero(BH__StoreVersion v)
{
	return !v.era && !v.revision;
}

/* Formats a version as "era.revision" for a log line. Returns `text`. */
const char *bh__store_version_write(BH__StoreVersion v, char text[BH__STORE_VERSION_TEXT_LEN])
{
	snprintf(text, BH__STORE_VERSION_TEXT_LEN, "%" PRIu64 ".%" PRIu64, v.era, v.revision);
	return text;
}
