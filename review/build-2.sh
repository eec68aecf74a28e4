#!/bin/sh
# Builds the stand-ins of the second review's scripts: the project's own, and those of the cases.
set -e
cd "$(dirname "$0")/.."
mvn -q -B -DskipTests -pl soak -am package
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -cp target/lockdale-soak.jar -d target/review-2 review/6/*.java review/7/*.java review/8/*.java review/9/*.java
