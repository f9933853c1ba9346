/* SPDX-License-Identifier: BSD-3-Clause */
/* Fingerprints of requests: the first 128 bits of a SHA-256. A fast hash with a secret seed would do until
 * somebody learns the seed, who could then make a request that is taken for another account's; this needs no
 * secret. */
#include "bayhoist/fingerprint.h"

#include <glib.h>
#include <openssl/evp.h>
#include <string.h>

#define WORD_DIGITS_ 16 /* of 64 bits in hexadecimal */

static void add_text_(EVP_MD_CTX *sha, const char *text);

/* Returns the fingerprint of a request. */
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

/* Adds a text with its terminator, so that none can run on into the next. */
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

/* Writes a fingerprint in hexadecimal. */
void bh__fingerprint_write(const BH__Fingerprint *f, char out[BH__FINGERPRINT_TEXT_LEN])
{
	g_snprintf(out, BH__FINGERPRINT_TEXT_LEN, "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x", f->high,
			   f->low);
}

/* Reads what bh__fingerprint_write() wrote. Returns false if it is anything else. */
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
