#!/usr/bin/env bash
# Compiles the stand-ins of the cases, which need only the JDK, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -d target/review review/*.java
