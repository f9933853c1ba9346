/* SPDX-License-Identifier: BSD-3-Clause */
/* Names and ids from outside, which may have any length, in a place of fixed size. One that is cut would be
 * the name of everything that begins alike. */
#include "bayhoist/name.h"

#include <glib.h>
#include <string.h>

#define DIGEST_DIGITS_ 32 /* hexadecimal digits of SHA-256 that are kept */
#define MARK_ '~'

static bool has_digest_(const char *text, size_t len);

/* Copies a text to a place of `size` bytes. Returns false, and changes nothing, if it does not fit. */
bool bh__text_copy(char *out, size_t size, const char *text)
{
	size_t len = strlen(text);

	if (len >= size)
		return false;
	memcpy(out, text, len + 1);
	return true;
}

/* Writes a text to a place of `size` bytes. One that is too long is written as its beginning, a mark and a
 * digest of the whole, so that two different texts are written differently. So is a short one that looks like
 * that. */
void bh__text_fit(char *out, size_t size, const char *text)
{
	size_t len = strlen(text);
	const char *end;
	char *digest;

	g_assert(size >= BH__FIT_SIZE_MIN);
	if (!has_digest_(text, len) && bh__text_copy(out, size, text))
		return;
	digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, (gssize)len);
	end = text + MIN(len, size - 1 - DIGEST_DIGITS_ - 1);
	while (end > text && ((unsigned char)*end & 0xC0) == 0x80) /* within a character of UTF-8 */
		end--;
	g_snprintf(out, size, "%.*s%c%.*s", (int)(end - text), text, MARK_, DIGEST_DIGITS_, digest);
	g_free(digest);
}

/* Writes a name of a resource, a node or a hall. */
void bh__name_fit(char out[BH__NAME_LEN], const char *name)
{
	bh__text_fit(out, BH__NAME_LEN, name);
}

/* Returns true if a text ends like one that was too long. */
static bool has_digest_(const char *text, size_t len)
{
	return len > DIGEST_DIGITS_ && text[len - DIGEST_DIGITS_ - 1] == MARK_ &&
		   strspn(text + len - DIGEST_DIGITS_, "0123456789abcdef") == DIGEST_DIGITS_;
}
