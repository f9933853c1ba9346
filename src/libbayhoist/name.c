/* SPDX-License-Identifier: BSD-3-Clause */
/* Names from outside, which may have any length, in a place of fixed size. A name that is cut would be the
 * name of everything that begins alike. */
#include "bayhoist/name.h"

#include <glib.h>
#include <string.h>

#define DIGEST_DIGITS_ 32 /* hexadecimal digits of SHA-256 that are kept */
#define BEGINNING_ (BH__NAME_LEN - 1 - DIGEST_DIGITS_ - 1)
#define MARK_ '~'

static bool has_digest_(const char *name, size_t len);

/* Writes a name. One that is too long is written as its beginning, a mark and a digest of the whole, so that
 * two different names are written differently. So is a short one that looks like that. */
void bh__name_fit(char out[BH__NAME_LEN], const char *name)
{
	size_t len = strlen(name);
	const char *end;
	char *digest;

	if (len < BH__NAME_LEN && !has_digest_(name, len)) {
		memcpy(out, name, len + 1);
		return;
	}
	digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, name, (gssize)len);
	end = name + MIN(len, (size_t)BEGINNING_);
	while (end > name && ((unsigned char)*end & 0xC0) == 0x80) /* within a character of UTF-8 */
		end--;
	g_snprintf(out, BH__NAME_LEN, "%.*s%c%.*s", (int)(end - name), name, MARK_, DIGEST_DIGITS_, digest);
	g_free(digest);
}

/* Returns true if a name ends like one that was too long. */
static bool has_digest_(const char *name, size_t len)
{
	return len > DIGEST_DIGITS_ && name[len - DIGEST_DIGITS_ - 1] == MARK_ &&
		   strspn(name + len - DIGEST_DIGITS_, "0123456789abcdef") == DIGEST_DIGITS_;
}
