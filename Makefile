# peridotstep: `make run` and `make check` do all set-up on a fresh Debian machine.
BUILD ?= build
PKGS = talloc tevent libprotobuf-c argtable2 glib-2.0 liburcu libpq libcurl libmicrohttpd jansson sqlite3 libxxhash
DEBS = gcc make pkg-config clang-format clang-tidy libtalloc-dev libtevent-dev libprotobuf-c-dev libargtable2-dev \
  libglib2.0-dev check liburcu-dev libpq-dev libcurl4-openssl-dev libmicrohttpd-dev libjansson-dev libsqlite3-dev \
  libxxhash-dev postgresql-client gnuplot-nox curl
CC = gcc
SAN ?=
OPT ?= -O2 -g
WARN = -Wall -Wextra -Werror -Wno-unused-parameter -Wmissing-prototypes -Wshadow
CPPFLAGS_ALL = -D_GNU_SOURCE -DURCU_INLINE_SMALL_FUNCTIONS -Isrc -I. $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
CFLAGS_ALL = -std=gnu11 $(OPT) $(WARN) $(SAN) -pthread
LIBS = $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lurcu-common -pthread -lm
SRCS = $(sort $(wildcard src/*/*.c platform/*.c))
GEN = src/link/peer.pb-c.c src/pool/beat.pb-c.c src/pool/snapshot.pb-c.c src/pool/forward.pb-c.c src/pool/limits.pb-c.c
TESTS = $(sort $(wildcard tests/*.c))
OBJS = $(SRCS:%.c=$(BUILD)/%.o)
TEST_OBJS = $(TESTS:%.c=$(BUILD)/%.o)
FORMATTED = $(filter-out %.pb-c.c %.pb-c.h,$(wildcard src/*.c src/*/*.c src/*/*.h platform/*.c platform/*.h tests/*.c tests/*.h tests/*/*.c tests/*/*.h))

.PHONY: all run check lint asan-check tsan-check bench report setup format proto clean
all: setup
	@$(MAKE) --no-print-directory $(BUILD)/peridotstep

setup:
	@pkg-config --exists $(PKGS) check 2>/dev/null && command -v psql curl clang-format >/dev/null || \
	  { apt-get update -qq && DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $(DEBS); }

$(BUILD)/%.o: %.c
	@mkdir -p $(dir $@)
	@echo "  CC $<"; $(CC) $(CPPFLAGS_ALL) $(CFLAGS_ALL) -MMD -MP -c -o $@ $<

$(BUILD)/peridotstep: $(OBJS) $(BUILD)/src/main.o
	@echo "  LD $@"; $(CC) $(CFLAGS_ALL) -o $@ $^ $(LIBS)

$(BUILD)/run-tests: $(OBJS) $(TEST_OBJS)
	@echo "  LD $@"; $(CC) $(CFLAGS_ALL) -o $@ $^ $(LIBS) $(shell pkg-config --libs check 2>/dev/null)

run: all
	$(BUILD)/peridotstep demo

$(BUILD)/pool-%: tests/processes/%.c $(addprefix tests/processes/,world.c world.h load.c load.h)
	@mkdir -p $(dir $@)
	@echo "  LD $@"; $(CC) -std=gnu11 -O1 -g $(WARN) -pthread -o $@ $(filter %.c,$^)

check: setup
	@$(MAKE) --no-print-directory $(BUILD)/peridotstep $(BUILD)/run-tests $(BUILD)/pool-drain $(BUILD)/pool-failover \
	  $(BUILD)/pool-config $(BUILD)/pool-crowd $(BUILD)/pool-departure $(BUILD)/pool-replacement \
	  $(BUILD)/pool-stale-reads
	BUILD=$(BUILD) tests/run-all

asan-check: setup
	G_SLICE=always-malloc $(MAKE) check BUILD=build/asan OPT="-O1 -g" SAN="-fsanitize=address,undefined,float-cast-overflow -fno-sanitize-recover=undefined,float-cast-overflow -fno-omit-frame-pointer"

tsan-check: setup
	G_SLICE=always-malloc TSAN_OPTIONS="suppressions=$(CURDIR)/tests/tsan.supp" $(MAKE) check BUILD=build/tsan OPT="-O1 -g" SAN="-fsanitize=thread"

lint: setup
	clang-format --dry-run -Werror $(FORMATTED)
	printf '%s\n' $(filter-out $(GEN),$(SRCS)) src/main.c | \
	  xargs -P 6 -n 8 sh -c 'clang-tidy --quiet "$$@" -- $(CPPFLAGS_ALL) -std=gnu11 2>/dev/null' clang-tidy
	tests/check-links
	tests/check-names
	tests/check-includes

format:
	clang-format -i $(FORMATTED)

proto:
	protoc-c --c_out=src/link --proto_path=src/link src/link/peer.proto
	protoc-c --c_out=src/pool --proto_path=src/pool src/pool/beat.proto src/pool/snapshot.proto src/pool/forward.proto src/pool/limits.proto

bench: all
	tests/bench/run-bench

report: all
	tests/bench/make-report

clean:
	rm -rf build

-include $(OBJS:.o=.d) $(TEST_OBJS:.o=.d) $(BUILD)/src/main.d
