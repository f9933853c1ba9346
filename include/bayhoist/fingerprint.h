/* SPDX-License-Identifier: BSD-3-Clause */
/* Request fingerprints. Two requests have the same fingerprint if they come from the same client account with
 * the same method, target and complete body, regardless of the identifiers that each attempt carries. */
#ifndef BAYHOIST_FINGERPRINT_H
#define BAYHOIST_FINGERPRINT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BH__FINGERPRINT_TEXT_LEN 33 /* 32 hexadecimal digits and the terminator */

/* A 128-bit fingerprint. All zeros means no fingerprint. */
typedef struct {
	uint64_t high;
	uint64_t low;
} BH__Fingerprint;

/* Input of a fingerprint. No string is NULL. */
typedef struct {
	const char *account; /* client account; empty: none */
	const char *method;
	const char *target; /* path and query string */
	const uint8_t *body;
	size_t body_len;
} BH__FingerprintSource;

BH__Fingerprint bh__fingerprint_compute(const BH__FingerprintSource *source);
bool bh__fingerprint_equal(const BH__Fingerprint *a, const BH__Fingerprint *b);
bool bh__fingerprint_is_none(const BH__Fingerprint *f);
void bh__fingerprint_write(const BH__Fingerprint *f, char out[BH__FINGERPRINT_TEXT_LEN]);
bool bh__fingerprint_read(const char *text, BH__Fingerprint *out);

#endif
