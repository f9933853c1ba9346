# SPDX-License-Identifier: BSD-3-Clause
# bayhoist: `make`, `make check`, `make demo`, `make bench-policy`; SAN=1 builds with ASan and UBSan.
B := $(if $(SAN),build-san,build)
PKGS := glib-2.0 json-c libevent libevent_openssl openssl libxxhash gsl log4c zlib
CC := gcc
WARN := -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Wpointer-arith -Wvla
comma := ,
CPPFLAGS := -Iinclude -Isrc/libbayhoist/include/private -Isrc/share -D_GNU_SOURCE -MMD -MP $(shell pkg-config --cflags $(PKGS))
CFLAGS := -std=gnu11 -O2 -g -fno-omit-frame-pointer $(WARN) $(if $(SAN),-fsanitize=address$(comma)undefined$(comma)float-cast-overflow -fno-sanitize-recover=undefined$(comma)float-cast-overflow)
LDLIBS := $(shell pkg-config --libs $(PKGS)) -lmsgpackc -lhttp_parser -lm
LDFLAGS := $(if $(SAN),-fsanitize=address$(comma)undefined$(comma)float-cast-overflow)

LIB_O := $(patsubst %.c,$B/%.o,$(wildcard src/libbayhoist/*.c))
SHARE_O := $(patsubst %.c,$B/%.o,$(wildcard src/share/*.c))
PROGS := bayhoistd bayhoist-gate bayhoistctl bh-fake-platform bh-fake-engine bh-fake-service bh-load bh-check
BENCHES := $(patsubst src/bench/%.c,%,$(wildcard src/bench/bench_*.c))
TESTS := $(patsubst src/test_libbayhoist/%.c,%,$(wildcard src/test_libbayhoist/test_*.c))
FORMATTED := $(wildcard include/bayhoist/*.h src/*/*.c src/*/*.h src/libbayhoist/include/private/*.h platform/*.c platform/*.h test/platform/*.c test/platform/*.h)

all: $(PROGS:%=$B/%) $(BENCHES:%=$B/%)

$B/libbayhoist.a: $(LIB_O)
	@rm -f $@; ar rcs $@ $^
$B/libshare.a: $(SHARE_O)
	@rm -f $@; ar rcs $@ $^
$B/%.o: %.c
	@mkdir -p $(@D)
	@echo CC $<
	@$(CC) $(CPPFLAGS) $(CFLAGS) -c $< -o $@

define PROG
$B/$(1): $$(patsubst %.c,$B/%.o,$$(wildcard src/$(1)/*.c)) $B/libshare.a $B/libbayhoist.a
	@echo LD $$@
	@$$(CC) $$(LDFLAGS) -o $$@ $$(filter %.o,$$^) $$(filter %.a,$$^) $$(LDLIBS)
endef
$(foreach p,$(PROGS),$(eval $(call PROG,$(p))))

# the gateway, with its binding to the users' platform
GATE_O := $(patsubst %.c,$B/%.o,$(wildcard platform/*.c))
$B/bayhoist-gate: $(GATE_O)
$(GATE_O) $B/src/bayhoist-gate/main.o: CPPFLAGS += -Isrc/bayhoist-gate -Iplatform

BENCH_SHARED := $(patsubst %.c,$B/%.o,$(filter-out $(wildcard src/bench/bench_*.c),$(wildcard src/bench/*.c)))
$(BENCHES:%=$B/%): $B/%: $B/src/bench/%.o $(BENCH_SHARED) $B/libshare.a $B/libbayhoist.a
	@echo LD $@
	@$(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LDLIBS)

# the fleet on virtual time is the tests'
$B/bench_outage: $B/src/test_libbayhoist/fleet.o $B/src/test_libbayhoist/null_members.o
$B/bench_parts: $B/src/test_libbayhoist/crash_fleet.o $B/src/test_libbayhoist/null_members.o

TEST_SHARED := $(patsubst %.c,$B/%.o,$(filter-out $(wildcard src/test_libbayhoist/test_*.c),$(wildcard src/test_libbayhoist/*.c)))
$(TESTS:%=$B/%): $B/%: $B/src/test_libbayhoist/%.o $(TEST_SHARED) $B/libshare.a $B/libbayhoist.a
	@echo LD $@
	@$(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LDLIBS) -lcmocka

# the model engines are the benches'
$B/test_engine_division: $B/src/bench/pass_engine.o

# the test of channels to endpoints, which are the gateway's
$B/test_channel: $B/src/bayhoist-gate/direct_channel.o
$B/src/test_libbayhoist/test_channel.o: CPPFLAGS += -Isrc/bayhoist-gate

# tests of the binding, and the stand-in that it is played against
$B/test_decode: $B/test/platform/test_decode.o $B/platform/decode.o $B/platform/headers.o $B/platform/http_client.o \
		$B/platform/odd_entries.o \
		$B/libshare.a $B/libbayhoist.a
	@echo LD $@
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS) -lcmocka
$B/test_outside_entries: $B/test/platform/test_outside_entries.o $B/src/test_libbayhoist/mutator.o $B/platform/decode.o \
		$B/platform/headers.o $B/platform/http_client.o $B/platform/quarantine.o $B/src/bayhoist-gate/answer_parser.o \
		$B/libshare.a $B/libbayhoist.a
	@echo LD $@
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS) -lcmocka
$B/bh-fake-site: $B/test/platform/fake_site.o $B/test/platform/fake_answers.o $B/test/platform/fake_signals.o $B/libshare.a $B/libbayhoist.a
	@echo LD $@
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)
$B/bh-fault-proxy: $B/test/platform/fault_proxy.o $B/libshare.a $B/libbayhoist.a
	@echo LD $@
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)
$B/bh-early-endpoints: $B/test/platform/early_endpoints.o $B/libshare.a $B/libbayhoist.a
	@echo LD $@
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)
$B/bh-slow-callers: $B/test/platform/slow_callers.o $B/libshare.a $B/libbayhoist.a
	@echo LD $@
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)
$B/test/platform/test_decode.o $B/test/platform/test_outside_entries.o: CPPFLAGS += -Isrc/bayhoist-gate -Iplatform -Isrc/test_libbayhoist

check: all $(TESTS:%=$B/%) $B/test_decode $B/test_outside_entries $B/bh-fake-site $B/bh-fault-proxy $B/bh-early-endpoints $B/bh-slow-callers
	@B=$B sh test/run-all.sh $(TESTS) test_decode test_outside_entries

demo:
	@sh test/install-packages.sh
	@$(MAKE) --no-print-directory all
	@B=$B KEEP=$(KEEP) bash test/demo.sh

soak: all
	@B=$B bash test/soak.sh $(or $(SEEDS),3)

soak-gate: all $B/bh-fake-site $B/bh-fault-proxy
	@B=$B bash test/soak-gate.sh $(or $(FIRST),1) $(or $(SEEDS),3)

bench-policy bench-placement bench-suspects bench-outage bench-core bench-path bench-control bench-limits: all
	@B=$B PLOT=$(PLOT) bash test/$@.sh

format:
	clang-format -i $(FORMATTED)
lint:
	@clang-format --dry-run -Werror $(FORMATTED)
	@cppcheck --quiet --std=c11 --error-exitcode=1 --enable=warning,portability,performance --inline-suppr \
		--suppress=missingIncludeSystem -Iinclude -Isrc/libbayhoist/include/private -Isrc/share -Isrc/bayhoist-gate src platform

clean:
	rm -rf build build-san

.PHONY: all check demo soak soak-gate bench-suspects bench-outage bench-policy bench-placement bench-core bench-path bench-control bench-limits format lint clean
.SECONDARY:
-include $(shell find $B -name '*.d' 2>/dev/null)
