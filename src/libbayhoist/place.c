/* SPDX-License-Identifier: BSD-3-Clause */
/* Order and text form of store versions. */
#include "bayhoist/place.h"

#include <inttypes.h>
#include <stdio.h>

/* Returns a number below 0 if `a` is older than `b`, 0 if they are equal, and a number above 0 if `a` is
 * newer. */
int bh__place_compare(BH__Place a, BH__Place b)
{
	if (a.era != b.era)
		return a.era < b.era ? -1 : 1;
	if (a.revision != b.revision)
		return a.revision < b.revision ? -1 : 1;
	return 0;
}

/* Returns true if `a` is newer than `b`. */
bool bh__place_is_after(BH__Place a, BH__Place b)
{
	return bh__place_compare(a, b) > 0;
}

/* Returns the newer of two versions. */
BH__Place bh__place_max(BH__Place a, BH__Place b)
{
	return bh__place_is_after(b, a) ? b : a;
}

/* Returns true for the zero version, which means that no state of the store is known. */
bool bh__place_is_start(BH__Place p)
{
	return !p.era && !p.revision;
}

/* Formats a version as "era.revision" for a log line. Returns `text`. */
const char *bh__place_write(BH__Place p, char text[BH__PLACE_TEXT_LEN])
{
	snprintf(text, BH__PLACE_TEXT_LEN, "%" PRIu64 ".%" PRIu64, p.era, p.revision);
	return text;
}
