package larchridge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import larchridge.state.Attempt;
import larchridge.state.AttemptOutcome;
import larchridge.state.CachedPrefix;
import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.EndpointState;
import larchridge.state.EndpointUpdate;
import larchridge.state.Engine;
import larchridge.state.Generation;
import larchridge.state.LoadReport;
import larchridge.state.Role;
import larchridge.state.TrafficClass;
import org.junit.jupiter.api.Test;

class RoutingPolicyTest {
    private final RoutingPolicyFixture stage = new RoutingPolicyFixture();
    private final RoutingPolicy choice = stage.start();

    @Test
    void takesTheReaderWithFewestTokens() {
        Engine[] fleet = stage.fleet(2, 1);
        fleet[0].unreadToks = 900;
        choice.arrived(stage.gen("a"));
        assertSame(fleet[1], stage.last().engine);
    }

    @Test
    void prefersTheLastReaderOfTheSession() {
        Engine[] fleet = stage.fleet(3, 1);
        CachedPrefix session = new CachedPrefix("s");
        session.sentTo(fleet[2], 500, stage.now);
        choice.arrived(
                stage.gen(
                        "a",
                        RoutingPolicyFixture.product(Effect.IDEMPOTENT, DeduplicationScope.ALL),
                        session,
                        1000));
        assertSame(fleet[2], stage.last().engine);
    }

    @Test
    void picksTheWriterOnlyWhenTheReadEnds() {
        Engine[] fleet = stage.fleet(1, 2);
        choice.arrived(stage.gen("a"));
        fleet[1].streams = 3;
        choice.readDone(stage.last(), 0, null, false);
        assertSame(fleet[2], stage.last().engine);
    }

    @Test
    void readThatEndsAfterItsGenerationLeavesNothingPinned() {
        stage.fleet(1, 1);
        Generation gen = stage.gen("a");
        choice.arrived(gen);
        choice.departed(gen);
        choice.readDone(stage.last(), 0, null, true);
        assertTrue(stage.heardOf("release a"));
        assertEquals(1, stage.sent.size());
    }

    @Test
    void sideEffectingRunsNoSecondTime() {
        stage.fleet(1, 2);
        choice.arrived(
                stage.gen(
                        "a",
                        RoutingPolicyFixture.product(Effect.SIDE_EFFECTING, DeduplicationScope.ALL),
                        null,
                        1000));
        choice.readDone(stage.last(), 0, null, false);
        Attempt write = stage.last();
        choice.ended(write, AttemptOutcome.CUT, null, false);
        assertSame(write, stage.last());
        assertTrue(stage.heardOf("terminate a"));
        assertFalse(stage.heardOf("throttle"));
    }

    @Test
    void sendsNothingToAnEngineThatDrains() {
        Engine[] fleet = stage.fleet(2, 1);
        choice.listed(
                List.of(stage.listing(fleet[0], Role.READER, EndpointState.DRAINING, 0)), false);
        choice.arrived(stage.gen("a"));
        choice.arrived(stage.gen("b"));
        assertTrue(stage.sent.stream().allMatch(attempt -> attempt.engine == fleet[1]));
        assertEquals(2, stage.sent.size());
    }

    @Test
    void manyFrontsTogetherKeepToTheBudgetOfAColdEngine() {
        stage.terms.fronts = 150;
        int attempts = 0;
        for (int front = 0; front < 150; front++) {
            stage.terms.seed = front;
            stage.start();
            Engine[] fleet = stage.fleet(3, 1);
            for (int i = 0; i < 30; i++) {
                stage.now += 1000;
                stage.choice.readDone(
                        new Attempt(stage.gen("w"), fleet[i % 2], true, stage.now, 9, 9),
                        0,
                        null,
                        true);
            }
            stage.choice.listed(
                    List.of(
                            stage.listing(
                                    fleet[2], Role.READER, EndpointState.READY, stage.now - 500)),
                    false);
            for (int i = 0; i < 4; i++) {
                stage.now += 1000;
                stage.choice.arrived(stage.gen("g" + i));
            }
            attempts += fleet[2].attempts.size();
        }
        assertTrue(attempts > 20 && attempts < 113, attempts + " attempts of 600");
    }

    /**
     * Each front has sent nothing yet and hears no report: to it, all writers of the rack are
     * alike.
     */
    @Test
    void frontsThatSeeLittleSpreadTheirAnswersOverEqualWriters() {
        int fronts = 120;
        int[] answers = new int[4];
        for (int front = 0; front < fronts; front++) {
            stage.terms.fronts = fronts;
            stage.terms.seed = front;
            stage.terms.mayProbe = false;
            stage.start();
            Engine[] fleet = stage.fleet(1, answers.length);
            stage.choice.arrived(stage.gen("g"));
            stage.choice.readDone(stage.last(), 0, null, false);
            for (int i = 0; i < answers.length; i++) {
                answers[i] += stage.last().engine == fleet[1 + i] ? 1 : 0;
            }
        }
        for (int taken : answers) {
            assertTrue(
                    taken > 15 && taken < 50,
                    taken + " of " + fronts + " answers at one of four equal writers");
        }
    }

    @Test
    void finalAnswerComesBeforeTheTimeLimit() {
        stage.fleet(1, 1);
        Generation gen = stage.gen("a");
        choice.arrived(gen);
        stage.now = gen.limitMs - 1;
        choice.woken();
        assertTrue(gen.over);
        assertTrue(stage.heardOf("throttle a"));
    }

    @Test
    void stateOfAReaderThatLeftIsReleasedBeforeItIsReadAnew() {
        Engine[] fleet = stage.fleet(2, 1);
        Generation gen = stage.gen("a");
        choice.arrived(gen);
        Attempt read = stage.last();
        choice.listed(
                List.of(stage.listing(read.engine, Role.READER, EndpointState.GONE, 0)), false);
        choice.readDone(read, 0, null, false);
        assertTrue(stage.heardOf("release a"));
        assertSame(read.engine == fleet[0] ? fleet[1] : fleet[0], stage.last().engine);
    }

    @Test
    void longPromptAtAnIdleReaderIsNotOverdue() {
        stage.fleet(2, 1);
        choice.arrived(
                stage.gen(
                        "a",
                        RoutingPolicyFixture.product(Effect.IDEMPOTENT, DeduplicationScope.ALL),
                        null,
                        20_000));
        stage.now += 1500;
        choice.woken();
        assertFalse(stage.heardOf("cancel"));
    }

    @Test
    void whatCanNoLongerMakeItsSloTimeIsGivenUpFromTheWait() {
        Engine[] fleet = stage.fleet(1, 1);
        choice.arrived(
                stage.gen(
                        "big",
                        RoutingPolicyFixture.product(Effect.IDEMPOTENT, DeduplicationScope.ALL),
                        null,
                        20_000));
        Generation gen = stage.gen("a");
        choice.arrived(gen);
        stage.now += 1000;
        choice.woken();
        assertTrue(stage.heardOf("throttle a"));
        assertEquals(1, fleet[0].attempts.size());
    }

    @Test
    void revenueGoesFirstWhenReadersAreShort() {
        stage.fleet(1, 1);
        choice.arrived(
                stage.gen(
                        "big",
                        RoutingPolicyFixture.product(Effect.IDEMPOTENT, DeduplicationScope.ALL),
                        null,
                        11_000));
        Attempt big = stage.last();
        choice.arrived(stage.gen("cheap"));
        TrafficClass dear =
                new TrafficClass(
                        "d",
                        Effect.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        5000,
                        3,
                        0.1,
                        1000,
                        0.04,
                        60);
        choice.arrived(stage.gen("dear", dear, null, 8_000));
        stage.now += 300;
        choice.readDone(big, 0, null, false);
        assertEquals("dear", stage.sent.get(2).gen.label);
    }

    @Test
    void generationThatWaitsAgainIsSentOnce() {
        Engine[] fleet = stage.fleet(1, 1);
        choice.arrived(stage.gen("a"));
        fleet[0].unreadToks = 50_000;
        choice.ended(stage.last(), AttemptOutcome.FAULT, null, false);
        choice.woken();
        assertEquals(1, stage.sent.size());
        fleet[0].unreadToks = 0;
        choice.woken();
        choice.woken();
        assertEquals(2, stage.sent.size());
    }

    @Test
    void newGenerationsWaitWhileTheWritersHaveNoRoomForWhatIsRead() {
        Engine[] fleet = stage.fleet(2, 1);
        fleet[2].othersToks = 200_000 - 4000;
        fleet[2].reportMs = stage.now;
        for (int i = 0; i < 5; i++) {
            choice.arrived(stage.gen("g" + i));
        }
        assertEquals(3, stage.sent.size());
    }

    @Test
    void retryIsReadByShortReadersOnly() {
        Engine[] fleet = stage.fleet(1, 1);
        fleet[0].unreadToks = 4000;
        Generation retry =
                new Generation(
                        "r",
                        RoutingPolicyFixture.product(Effect.IDEMPOTENT, DeduplicationScope.ALL),
                        null,
                        null,
                        null,
                        1000,
                        0,
                        200,
                        Double.NaN,
                        true,
                        stage.now,
                        stage.now + 5000);
        choice.arrived(retry);
        assertTrue(stage.sent.isEmpty());
        fleet[0].unreadToks = 2000;
        choice.woken();
        assertSame(retry, stage.last().gen);
    }

    @Test
    void sessionStaysWithItsReaderWhereReadingAnewTakesMore() {
        Engine[] fleet = stage.fleet(2, 1);
        CachedPrefix session = new CachedPrefix("s");
        session.sentTo(fleet[0], 9_000, stage.now);
        new Attempt(stage.gen("x"), fleet[0], true, stage.now, 4_000, 4_000).open();
        choice.arrived(
                stage.gen(
                        "a",
                        RoutingPolicyFixture.product(Effect.IDEMPOTENT, DeduplicationScope.ALL),
                        session,
                        9_500));
        assertSame(fleet[0], stage.last().engine);
    }

    @Test
    void frontsThatNeverMetASessionAgreeOnItsReader() {
        CachedPrefix prefix = new CachedPrefix("p");
        for (int front = 0; front < 20; front++) {
            stage.terms.seed = front;
            stage.start();
            stage.fleet(8, 2);
            stage.choice.arrived(
                    new Generation(
                            "g",
                            RoutingPolicyFixture.product(Effect.IDEMPOTENT, DeduplicationScope.ALL),
                            null,
                            new CachedPrefix("s"),
                            prefix,
                            3000,
                            2000,
                            200,
                            Double.NaN,
                            false,
                            stage.now,
                            stage.now + 5000));
        }
        assertEquals(
                1, stage.sent.stream().map(attempt -> attempt.engine.label).distinct().count());
    }

    @Test
    void stateOfALostAnswerIsReleasedAfterTheLastAttempt() {
        stage.fleet(1, 1);
        Generation gen = stage.gen("a");
        choice.arrived(gen);
        choice.departed(gen);
        stage.said.clear();
        choice.ended(stage.last(), AttemptOutcome.CANCELLED, null, true);
        assertTrue(stage.heardOf("release a"));
    }

    @Test
    void stateThatComesDuringAnInPlaceAttemptIsUsedWhenThatFails() {
        Engine[] fleet = stage.fleet(1, 2);
        choice.arrived(stage.gen("a"));
        Attempt read = stage.last();
        Attempt inPlace = new Attempt(read.gen, fleet[1], false, stage.now, 1100, 1000);
        inPlace.open();
        choice.readDone(read, 0, null, false);
        assertFalse(stage.heardOf("release"));
        choice.ended(inPlace, AttemptOutcome.FAULT, null, false);
        assertEquals(2, stage.sent.size());
        assertSame(Role.WRITER, stage.last().engine.role);
    }

    @Test
    void engineOfBothRolesReadsInPlaceWhereNoReaderIsShort() {
        Engine[] fleet = stage.fleet(1, 2);
        fleet[1].role = Role.BOTH;
        fleet[2].streams = 20;
        fleet[0].unreadToks = 50_000;
        choice.arrived(stage.gen("a"));
        assertSame(fleet[1], stage.last().engine);
        fleet[1].streams = 20;
        choice.arrived(stage.gen("b"));
        assertEquals(1, stage.sent.size());
    }

    @Test
    void asksFollowGenerationsAndNotTheClock() {
        stage.terms.reportsWithProbes = true;
        RoutingPolicy asking = stage.start();
        stage.fleet(4, 10);
        asking.arrived(stage.gen("a"));
        for (int i = 0; i < 15; i++) {
            stage.now += 20;
            asking.woken();
        }
        assertEquals(3, stage.said.stream().filter(line -> line.startsWith("probe")).count());
    }

    @Test
    void oneOwnSendDoesNotOutweighAReportWhereFrontsAreMany() {
        stage.terms.fronts = 150;
        RoutingPolicy one = stage.start();
        Engine[] fleet = stage.fleet(1, 3);
        one.arrived(stage.gen("a"));
        one.readDone(stage.last(), 0, new LoadReport(0, 0, 0, 0), false);
        Engine first = stage.last().engine;
        for (int i = 1; i <= 3; i++) {
            fleet[i].reportMs = stage.now;
            fleet[i].othersStreams = fleet[i] == first ? 4 : 30;
            fleet[i].othersToks = 1000 * fleet[i].othersStreams;
        }
        one.arrived(stage.gen("b"));
        one.readDone(stage.last(), 0, null, false);
        assertSame(first, stage.last().engine);
    }

    @Test
    void prefixCountsAsKeptAtEveryReaderItWentTo() {
        Engine[] fleet = stage.fleet(2, 1);
        CachedPrefix text = new CachedPrefix("t");
        text.sentTo(fleet[0], 900, 1);
        text.sentTo(fleet[1], 900, 2);
        assertEquals(900, text.toksAt(fleet[0]));
        assertSame(fleet[1], text.keeper());
    }

    @Test
    void readAtASilentEngineGetsASecondBesideIt() {
        Engine[] fleet = stage.fleet(2, 1);
        choice.arrived(stage.gen("a"));
        Attempt silent = stage.last();
        silent.engine.heardMs = stage.now + 100;
        stage.now += 400;
        choice.woken();
        assertSame(silent, stage.last());
        stage.now += 400;
        choice.woken();
        assertFalse(stage.heardOf("cancel a"));
        assertSame(silent.engine == fleet[0] ? fleet[1] : fleet[0], stage.last().engine);
    }

    @Test
    void deduplicatedRunsAgainOnlyWithinItsGroup() {
        Engine[] fleet = stage.fleet(1, 2);
        choice.arrived(
                stage.gen(
                        "a",
                        RoutingPolicyFixture.product(Effect.DEDUPLICATED, DeduplicationScope.RACK),
                        null,
                        1000));
        choice.readDone(stage.last(), 0, null, false);
        Attempt write = stage.last();
        (write.engine == fleet[1] ? fleet[2] : fleet[1]).rack = 7;
        write.engine.rack = 3;
        while (stage.last().out) {
            assertSame(write.engine, stage.last().engine);
            choice.ended(stage.last(), AttemptOutcome.CUT, null, false);
        }
        assertTrue(stage.heardOf("terminate a"));
    }

    @Test
    void restartedEngineIsForgottenAlsoAfterItLeftTheList() {
        Engine[] fleet = stage.fleet(1, 1);
        fleet[0].suspectUntilMs = stage.now + 60_000;
        choice.listed(List.of(stage.listing(fleet[0], Role.READER, EndpointState.GONE, 0)), false);
        choice.listed(
                List.of(stage.listing(fleet[0], Role.READER, EndpointState.READY, stage.now - 1)),
                false);
        assertEquals(0, fleet[0].suspectUntilMs);
    }

    @Test
    void listIsAskedForAgainAfterAFailureOnly() {
        stage.terms.listIsAsked = true;
        RoutingPolicy asking = stage.start();
        stage.now += 20_000;
        asking.woken();
        assertEquals(1, stage.said.stream().filter("follow"::equals).count());
        asking.listFailed();
        stage.now += 1001;
        asking.woken();
        assertEquals(2, stage.said.stream().filter("follow"::equals).count());
    }

    @Test
    void answerStaysAtASilentWriterWhileNoOtherHasRoom() {
        Engine[] fleet = stage.fleet(1, 2);
        choice.arrived(stage.gen("a"));
        choice.readDone(stage.last(), 0, null, false);
        Attempt write = stage.last();
        fleet[1].othersToks = 200_000;
        fleet[2].othersToks = 200_000;
        fleet[1].reportMs = stage.now + 1500;
        fleet[2].reportMs = stage.now + 1500;
        stage.now += 1500;
        choice.woken();
        assertSame(write, stage.last());
        (write.engine == fleet[1] ? fleet[2] : fleet[1]).othersToks = 0;
        choice.woken();
        assertEquals(3, stage.sent.size());
    }

    @Test
    void othersPromptsCountWhileTheirReportIsFresh() {
        Engine[] fleet = stage.fleet(2, 1);
        fleet[0].othersUnreadToks = 5000;
        fleet[0].reportMs = stage.now;
        fleet[0].heardMs = stage.now;
        fleet[1].unreadToks = 800;
        choice.arrived(stage.gen("a"));
        assertSame(fleet[1], stage.last().engine);
    }

    @Test
    void frontThatSawSlowBeginningsTriesAgainWhenTheyAreLongPast() {
        stage.fleet(1, 1);
        for (int i = 0; i < 200; i++) {
            choice.arrived(stage.gen("slow" + i));
            Attempt read = stage.last();
            choice.readDone(read, 0, null, false);
            Attempt write = stage.last();
            stage.now += 3000;
            choice.begun(write);
            choice.ended(write, AttemptOutcome.STREAMED, null, true);
        }
        stage.now += 20_000;
        int sent = stage.sent.size();
        choice.arrived(stage.gen("a"));
        choice.woken();
        assertEquals(sent + 1, stage.sent.size());
    }

    @Test
    void thousandsThatWaitAreNotAllTriedWheneverOneEnds() {
        Engine[] fleet = stage.fleet(1, 1);
        fleet[0].unreadToks = 50_000;
        List<Generation> gens = new java.util.ArrayList<>();
        for (int i = 0; i < 500; i++) {
            gens.add(stage.gen("g" + i));
            choice.arrived(gens.get(i));
        }
        gens.forEach(gen -> gen.leastReadToks = -1);
        choice.woken();
        assertEquals(100, gens.stream().filter(gen -> gen.leastReadToks >= 0).count());
    }

    @Test
    void engineThatErrsAtOnceIsLeftAloneThoughItAnswersProbes() {
        RoutingPolicyFixture stage = new RoutingPolicyFixture();
        RoutingPolicy choice = stage.start();
        Engine[] fleet = stage.fleet(2, 0);
        for (int i = 0; i < 3; i++) {
            choice.arrived(stage.gen("g" + i));
            while (stage.last().out && stage.last().engine == fleet[0]) {
                choice.ended(stage.last(), AttemptOutcome.FAULT, null, false);
                choice.probed(fleet[0], true, null);
            }
            stage.now += 10;
        }
        int before = stage.sent.size();
        choice.arrived(stage.gen("last"));
        assertEquals(before + 1, stage.sent.size());
        assertEquals(fleet[1], stage.last().engine);
        assertTrue(stage.sent.stream().filter(attempt -> attempt.engine == fleet[0]).count() <= 2);
    }

    @Test
    void answersStayInTheRackWhileMovesOutOfItAreLate() {
        RoutingPolicyFixture stage = new RoutingPolicyFixture();
        RoutingPolicy choice = stage.start();
        Engine reader = new Engine(1);
        Engine near = new Engine(2);
        Engine far = new Engine(3);
        choice.listed(
                List.of(
                        new EndpointUpdate(
                                reader, EndpointState.READY, 0, 1, "z", 0, Role.READER, 200_000),
                        new EndpointUpdate(
                                near, EndpointState.READY, 0, 1, "z", 0, Role.WRITER, 200_000),
                        new EndpointUpdate(
                                far, EndpointState.READY, 0, 1, "z", 7, Role.WRITER, 200_000)),
                true);
        // The near one holds more than Z, so that answers go out of the rack.
        for (int i = 0; i < 4; i++) {
            Generation gen = stage.gen("near" + i);
            new Attempt(gen, near, false, stage.now, 2000, 0).open();
        }
        choice.arrived(stage.gen("first"));
        choice.readDone(stage.last(), 0, null, false);
        assertEquals(far, stage.last().engine);
        stage.now += 500;
        choice.woken();
        choice.arrived(stage.gen("second"));
        choice.readDone(stage.last(), 0, null, false);
        assertEquals(near, stage.last().engine);
        // Some seconds without any late one, and they go out again.
        stage.now += 5000;
        choice.arrived(stage.gen("third"));
        choice.readDone(stage.last(), 0, null, false);
        assertEquals(far, stage.last().engine);
    }

    @Test
    void oneBrokenConnectionKeepsNoWorkAwayButTwoDo() {
        RoutingPolicyFixture stage = new RoutingPolicyFixture();
        RoutingPolicy choice = stage.start();
        Engine[] fleet = stage.fleet(2, 0);
        choice.arrived(stage.gen("a"));
        choice.ended(stage.last(), AttemptOutcome.CUT, null, false);
        assertEquals(0, fleet[0].suspectUntilMs);
        while (stage.last().out && stage.last().engine == fleet[0]) {
            choice.ended(stage.last(), AttemptOutcome.CUT, null, false);
        }
        assertEquals(fleet[1], stage.last().engine);
        assertTrue(fleet[0].suspectUntilMs > stage.now);
    }

    @Test
    void readerThatIsFullIsNotAskedAgainAtOnce() {
        RoutingPolicyFixture stage = new RoutingPolicyFixture();
        RoutingPolicy choice = stage.start();
        Engine[] fleet = stage.fleet(2, 0);
        choice.arrived(stage.gen("a"));
        choice.ended(stage.last(), AttemptOutcome.FULL, null, false);
        assertEquals(2, stage.sent.size());
        assertEquals(fleet[1], stage.last().engine);
    }

    /**
     * It may wait in its writer's queue, which keeps the state; any other writer would find none.
     */
    @Test
    void answerWhoseStateWasReleasedBesideItStaysUntilItsPromptIsReadAnew() {
        stage.fleet(2, 2);
        Generation gen = stage.gen("a");
        choice.arrived(gen);
        choice.readDone(stage.last(), 0, null, false);
        Attempt waits = stage.last();
        choice.stateReleased(waits);
        waits.patienceMs = 100;
        stage.now += waits.patienceMs + 1;
        choice.woken();
        Attempt again = stage.last();
        assertTrue(again.read, "the prompt is read anew before the answer moves");
        assertFalse(stage.heardOf("cancel a"));
        choice.readDone(again, 0, null, false);
        assertFalse(stage.last().read);
        assertTrue(waits.cancelled);
    }

    /** A fault at one generation must not end the regular look at the others. */
    @Test
    void regularLookGoesOnAfterAFault() {
        stage.fleet(1, 1);
        choice.arrived(stage.gen("a"));
        stage.wakes = 0;
        stage.last().gen.attempts.set(0, null);
        assertThrows(NullPointerException.class, choice::woken);
        assertEquals(1, stage.wakes);
    }
}
