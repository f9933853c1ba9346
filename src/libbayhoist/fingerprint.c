/* SPDX-License-Identifier: BSD-3-Clause */
/* Request fingerprints: the first 128 bits of a SHA-256 digest. A fast keyed hash would be safe only as long
 * as its seed stays secret: whoever knows the seed can construct a request that collides with another
 * account's request. SHA-256 needs no secret. */
#include "bayhoist/fingerprint.h"

#include <glib.h>
#include <openssl/evp.h>
#include <string.h>

#define WORD_DIGITS_ 16 /* hexadecimal digits of a 64-bit word */

static void add_text_(EVP_MD_CTX *sha, const char *text);

/* Returns the fingerprint of a request, computed from its account, method, target and body. */
BH__Fingerprint bh__fingerprint_compute(const BH__FingerprintSource *source)
{
	uint8_t digest[EVP_MAX_MD_SIZE];
	EVP_MD_CTX *sha = EVP_MD_CTX_new();
	BH__Fingerprint f;

	EVP_DigestInit_ex(sha, EVP_sha256(), NULL);
	add_text_(sha, source->account);
	add_text_(sha, source->method);
	add_text_(sha, source->target);
	EVP_DigestUpdate(sha, source->body, source->body_len);
	EVP_DigestFinal_ex(sha, digest, NULL);
	EVP_MD_CTX_free(sha);
	memcpy(&f.high, digest, sizeof f.high);
	memcpy(&f.low, digest + sizeof f.high, sizeof f.low);
	return f;
}

/* Hashes a string including its terminator, so that moving characters from one field to the next changes the
 * digest. */
static void add_text_(EVP_MD_CTX *sha, const char *text)
{
	EVP_DigestUpdate(sha, text, strlen(text) + 1);
}

bool bh__fingerprint_equal(const BH__Fingerprint *a, const BH__Fingerprint *b)
{
	return a->high == b->high && a->low == b->low;
}

bool bh__fingerprint_is_none(const BH__Fingerprint *f)
{
	return f->high == 0 && f->low == 0;
}

/* Formats a fingerprint as 32 lower-case hexadecimal digits. */
void bh__fingerprint_write(const BH__Fingerprint *f, char out[BH__FINGERPRINT_TEXT_LEN])
{
	g_snprintf(out, BH__FINGERPRINT_TEXT_LEN, "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x", f->high,
			   f->low);
}

/* Parses the output of bh__fingerprint_write(). Returns false on any other input and leaves `out` unchanged.
 */
bool bh__fingerprint_read(const char *text, BH__Fingerprint *out)
{
	char high[WORD_DIGITS_ + 1];

	if (strlen(text) != BH__FINGERPRINT_TEXT_LEN - 1 ||
		strspn(text, "0123456789abcdef") != BH__FINGERPRINT_TEXT_LEN - 1)
		return false;
	g_strlcpy(high, text, sizeof high);
	out->high = g_ascii_strtoull(high, NULL, 16);
	out->low = g_ascii_strtoull(text + WORD_DIGITS_, NULL, 16);
	return true;
}
