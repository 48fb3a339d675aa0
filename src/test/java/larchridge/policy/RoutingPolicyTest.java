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
import larchridge.state.EngineFixture;
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
        EngineFixture.setUnreadTokens(fleet[0], 900);
        choice.requestArrived(stage.gen("a"));
        assertSame(fleet[1], stage.last().engine);
    }

    @Test
    void prefersTheLastReaderOfTheSession() {
        Engine[] fleet = stage.fleet(3, 1);
        CachedPrefix session = new CachedPrefix("s");
        session.recordSent(fleet[2], 500, stage.now);
        choice.requestArrived(
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
        choice.requestArrived(stage.gen("a"));
        EngineFixture.setStreams(fleet[1], 3);
        choice.readCompleted(stage.last(), 0, null, false);
        assertSame(fleet[2], stage.last().engine);
    }

    @Test
    void readThatEndsAfterItsGenerationLeavesNothingPinned() {
        stage.fleet(1, 1);
        Generation generation = stage.gen("a");
        choice.requestArrived(generation);
        choice.clientDisconnected(generation);
        choice.readCompleted(stage.last(), 0, null, true);
        assertTrue(stage.heardOf("release a"));
        assertEquals(1, stage.sent.size());
    }

    @Test
    void sideEffectingRunsNoSecondTime() {
        stage.fleet(1, 2);
        choice.requestArrived(
                stage.gen(
                        "a",
                        RoutingPolicyFixture.product(Effect.SIDE_EFFECTING, DeduplicationScope.ALL),
                        null,
                        1000));
        choice.readCompleted(stage.last(), 0, null, false);
        Attempt write = stage.last();
        choice.attemptEnded(write, AttemptOutcome.CUT, null, false);
        assertSame(write, stage.last());
        assertTrue(stage.heardOf("terminate a"));
        assertFalse(stage.heardOf("throttle"));
    }

    @Test
    void sendsNothingToAnEngineThatDrains() {
        Engine[] fleet = stage.fleet(2, 1);
        choice.endpointsChanged(
                List.of(stage.listing(fleet[0], Role.READER, EndpointState.DRAINING, 0)), false);
        choice.requestArrived(stage.gen("a"));
        choice.requestArrived(stage.gen("b"));
        assertTrue(stage.sent.stream().allMatch(attempt -> attempt.engine == fleet[1]));
        assertEquals(2, stage.sent.size());
    }

    @Test
    void manyFrontsTogetherKeepToTheBudgetOfAColdEngine() {
        stage.settings.routers(150);
        int attempts = 0;
        for (int front = 0; front < 150; front++) {
            stage.settings.seed(front);
            stage.start();
            Engine[] fleet = stage.fleet(3, 1);
            for (int i = 0; i < 30; i++) {
                stage.now += 1000;
                stage.choice.readCompleted(
                        new Attempt(stage.gen("w"), fleet[i % 2], true, stage.now, 9, 9),
                        0,
                        null,
                        true);
            }
            stage.choice.endpointsChanged(
                    List.of(
                            stage.listing(
                                    fleet[2], Role.READER, EndpointState.READY, stage.now - 500)),
                    false);
            for (int i = 0; i < 4; i++) {
                stage.now += 1000;
                stage.choice.requestArrived(stage.gen("g" + i));
            }
            attempts += fleet[2].attempts().size();
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
            stage.settings.routers(fronts);
            stage.settings.seed(front);
            stage.settings.probesAllowed(false);
            stage.start();
            Engine[] fleet = stage.fleet(1, answers.length);
            stage.choice.requestArrived(stage.gen("g"));
            stage.choice.readCompleted(stage.last(), 0, null, false);
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
        Generation generation = stage.gen("a");
        choice.requestArrived(generation);
        stage.now = generation.deadlineMs - 1;
        choice.wakeUp();
        assertTrue(generation.isFinished());
        assertTrue(stage.heardOf("throttle a"));
    }

    @Test
    void stateOfAReaderThatLeftIsReleasedBeforeItIsReadAnew() {
        Engine[] fleet = stage.fleet(2, 1);
        Generation generation = stage.gen("a");
        choice.requestArrived(generation);
        Attempt read = stage.last();
        choice.endpointsChanged(
                List.of(stage.listing(read.engine, Role.READER, EndpointState.REMOVED, 0)), false);
        choice.readCompleted(read, 0, null, false);
        assertTrue(stage.heardOf("release a"));
        assertSame(read.engine == fleet[0] ? fleet[1] : fleet[0], stage.last().engine);
    }

    @Test
    void longPromptAtAnIdleReaderIsNotOverdue() {
        stage.fleet(2, 1);
        choice.requestArrived(
                stage.gen(
                        "a",
                        RoutingPolicyFixture.product(Effect.IDEMPOTENT, DeduplicationScope.ALL),
                        null,
                        20_000));
        stage.now += 1500;
        choice.wakeUp();
        assertFalse(stage.heardOf("cancel"));
    }

    @Test
    void whatCanNoLongerMakeItsSloTimeIsGivenUpFromTheWait() {
        Engine[] fleet = stage.fleet(1, 1);
        choice.requestArrived(
                stage.gen(
                        "big",
                        RoutingPolicyFixture.product(Effect.IDEMPOTENT, DeduplicationScope.ALL),
                        null,
                        20_000));
        Generation generation = stage.gen("a");
        choice.requestArrived(generation);
        stage.now += 1000;
        choice.wakeUp();
        assertTrue(stage.heardOf("throttle a"));
        assertEquals(1, fleet[0].attempts().size());
    }

    @Test
    void revenueGoesFirstWhenReadersAreShort() {
        stage.fleet(1, 1);
        choice.requestArrived(
                stage.gen(
                        "big",
                        RoutingPolicyFixture.product(Effect.IDEMPOTENT, DeduplicationScope.ALL),
                        null,
                        11_000));
        Attempt big = stage.last();
        choice.requestArrived(stage.gen("cheap"));
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
        choice.requestArrived(stage.gen("dear", dear, null, 8_000));
        stage.now += 300;
        choice.readCompleted(big, 0, null, false);
        assertEquals("dear", stage.sent.get(2).generation.id);
    }

    @Test
    void generationThatWaitsAgainIsSentOnce() {
        Engine[] fleet = stage.fleet(1, 1);
        choice.requestArrived(stage.gen("a"));
        EngineFixture.setUnreadTokens(fleet[0], 50_000);
        choice.attemptEnded(stage.last(), AttemptOutcome.FAULT, null, false);
        choice.wakeUp();
        assertEquals(1, stage.sent.size());
        EngineFixture.setUnreadTokens(fleet[0], 0);
        choice.wakeUp();
        choice.wakeUp();
        assertEquals(2, stage.sent.size());
    }

    @Test
    void newGenerationsWaitWhileTheWritersHaveNoRoomForWhatIsRead() {
        Engine[] fleet = stage.fleet(2, 1);
        EngineFixture.setOthersTokens(fleet[2], 200_000 - 4000);
        EngineFixture.setReportMs(fleet[2], stage.now);
        for (int i = 0; i < 5; i++) {
            choice.requestArrived(stage.gen("g" + i));
        }
        assertEquals(3, stage.sent.size());
    }

    @Test
    void retryIsReadByShortReadersOnly() {
        Engine[] fleet = stage.fleet(1, 1);
        EngineFixture.setUnreadTokens(fleet[0], 4000);
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
        choice.requestArrived(retry);
        assertTrue(stage.sent.isEmpty());
        EngineFixture.setUnreadTokens(fleet[0], 2000);
        choice.wakeUp();
        assertSame(retry, stage.last().generation);
    }

    @Test
    void sessionStaysWithItsReaderWhereReadingAnewTakesMore() {
        Engine[] fleet = stage.fleet(2, 1);
        CachedPrefix session = new CachedPrefix("s");
        session.recordSent(fleet[0], 9_000, stage.now);
        new Attempt(stage.gen("x"), fleet[0], true, stage.now, 4_000, 4_000).open();
        choice.requestArrived(
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
            stage.settings.seed(front);
            stage.start();
            stage.fleet(8, 2);
            stage.choice.requestArrived(
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
        Generation generation = stage.gen("a");
        choice.requestArrived(generation);
        choice.clientDisconnected(generation);
        stage.said.clear();
        choice.attemptEnded(stage.last(), AttemptOutcome.CANCELLED, null, true);
        assertTrue(stage.heardOf("release a"));
    }

    @Test
    void stateThatComesDuringAnInPlaceAttemptIsUsedWhenThatFails() {
        Engine[] fleet = stage.fleet(1, 2);
        choice.requestArrived(stage.gen("a"));
        Attempt read = stage.last();
        Attempt inPlace = new Attempt(read.generation, fleet[1], false, stage.now, 1100, 1000);
        inPlace.open();
        choice.readCompleted(read, 0, null, false);
        assertFalse(stage.heardOf("release"));
        choice.attemptEnded(inPlace, AttemptOutcome.FAULT, null, false);
        assertEquals(2, stage.sent.size());
        assertSame(Role.WRITER, stage.last().engine.role());
    }

    @Test
    void engineOfBothRolesReadsInPlaceWhereNoReaderIsShort() {
        Engine[] fleet = stage.fleet(1, 2);
        EngineFixture.setRole(fleet[1], Role.BOTH);
        EngineFixture.setStreams(fleet[2], 20);
        EngineFixture.setUnreadTokens(fleet[0], 50_000);
        choice.requestArrived(stage.gen("a"));
        assertSame(fleet[1], stage.last().engine);
        EngineFixture.setStreams(fleet[1], 20);
        choice.requestArrived(stage.gen("b"));
        assertEquals(1, stage.sent.size());
    }

    @Test
    void asksFollowGenerationsAndNotTheClock() {
        stage.settings.reportsWithProbes(true);
        RoutingPolicy asking = stage.start();
        stage.fleet(4, 10);
        asking.requestArrived(stage.gen("a"));
        for (int i = 0; i < 15; i++) {
            stage.now += 20;
            asking.wakeUp();
        }
        assertEquals(3, stage.said.stream().filter(line -> line.startsWith("probe")).count());
    }

    @Test
    void oneOwnSendDoesNotOutweighAReportWhereFrontsAreMany() {
        stage.settings.routers(150);
        RoutingPolicy one = stage.start();
        Engine[] fleet = stage.fleet(1, 3);
        one.requestArrived(stage.gen("a"));
        one.readCompleted(stage.last(), 0, new LoadReport(0, 0, 0, 0), false);
        Engine first = stage.last().engine;
        for (int i = 1; i <= 3; i++) {
            EngineFixture.setReportMs(fleet[i], stage.now);
            EngineFixture.setOthersStreams(fleet[i], fleet[i] == first ? 4 : 30);
            EngineFixture.setOthersTokens(fleet[i], 1000 * fleet[i].othersStreams());
        }
        one.requestArrived(stage.gen("b"));
        one.readCompleted(stage.last(), 0, null, false);
        assertSame(first, stage.last().engine);
    }

    @Test
    void prefixCountsAsKeptAtEveryReaderItWentTo() {
        Engine[] fleet = stage.fleet(2, 1);
        CachedPrefix text = new CachedPrefix("t");
        text.recordSent(fleet[0], 900, 1);
        text.recordSent(fleet[1], 900, 2);
        assertEquals(900, text.tokensAt(fleet[0]));
        assertSame(fleet[1], text.lastReader());
    }

    @Test
    void readAtASilentEngineGetsASecondBesideIt() {
        Engine[] fleet = stage.fleet(2, 1);
        choice.requestArrived(stage.gen("a"));
        Attempt silent = stage.last();
        EngineFixture.setHeardMs(silent.engine, stage.now + 100);
        stage.now += 400;
        choice.wakeUp();
        assertSame(silent, stage.last());
        stage.now += 400;
        choice.wakeUp();
        assertFalse(stage.heardOf("cancel a"));
        assertSame(silent.engine == fleet[0] ? fleet[1] : fleet[0], stage.last().engine);
    }

    @Test
    void deduplicatedRunsAgainOnlyWithinItsGroup() {
        Engine[] fleet = stage.fleet(1, 2);
        choice.requestArrived(
                stage.gen(
                        "a",
                        RoutingPolicyFixture.product(Effect.DEDUPLICATED, DeduplicationScope.RACK),
                        null,
                        1000));
        choice.readCompleted(stage.last(), 0, null, false);
        Attempt write = stage.last();
        EngineFixture.setRack(write.engine == fleet[1] ? fleet[2] : fleet[1], 7);
        EngineFixture.setRack(write.engine, 3);
        while (stage.last().isInFlight()) {
            assertSame(write.engine, stage.last().engine);
            choice.attemptEnded(stage.last(), AttemptOutcome.CUT, null, false);
        }
        assertTrue(stage.heardOf("terminate a"));
    }

    @Test
    void restartedEngineIsForgottenAlsoAfterItLeftTheList() {
        Engine[] fleet = stage.fleet(1, 1);
        EngineFixture.setEjectedUntilMs(fleet[0], stage.now + 60_000);
        choice.endpointsChanged(
                List.of(stage.listing(fleet[0], Role.READER, EndpointState.REMOVED, 0)), false);
        choice.endpointsChanged(
                List.of(stage.listing(fleet[0], Role.READER, EndpointState.READY, stage.now - 1)),
                false);
        assertEquals(0, fleet[0].ejectedUntilMs());
    }

    @Test
    void listIsAskedForAgainAfterAFailureOnly() {
        stage.settings.endpointListPolled(true);
        RoutingPolicy asking = stage.start();
        stage.now += 20_000;
        asking.wakeUp();
        assertEquals(1, stage.said.stream().filter("follow"::equals).count());
        asking.endpointWatchFailed();
        stage.now += 1001;
        asking.wakeUp();
        assertEquals(2, stage.said.stream().filter("follow"::equals).count());
    }

    @Test
    void answerStaysAtASilentWriterWhileNoOtherHasRoom() {
        Engine[] fleet = stage.fleet(1, 2);
        choice.requestArrived(stage.gen("a"));
        choice.readCompleted(stage.last(), 0, null, false);
        Attempt write = stage.last();
        EngineFixture.setOthersTokens(fleet[1], 200_000);
        EngineFixture.setOthersTokens(fleet[2], 200_000);
        EngineFixture.setReportMs(fleet[1], stage.now + 1500);
        EngineFixture.setReportMs(fleet[2], stage.now + 1500);
        stage.now += 1500;
        choice.wakeUp();
        assertSame(write, stage.last());
        EngineFixture.setOthersTokens(write.engine == fleet[1] ? fleet[2] : fleet[1], 0);
        choice.wakeUp();
        assertEquals(3, stage.sent.size());
    }

    @Test
    void othersPromptsCountWhileTheirReportIsFresh() {
        Engine[] fleet = stage.fleet(2, 1);
        EngineFixture.setOthersUnreadTokens(fleet[0], 5000);
        EngineFixture.setReportMs(fleet[0], stage.now);
        EngineFixture.setHeardMs(fleet[0], stage.now);
        EngineFixture.setUnreadTokens(fleet[1], 800);
        choice.requestArrived(stage.gen("a"));
        assertSame(fleet[1], stage.last().engine);
    }

    @Test
    void frontThatSawSlowBeginningsTriesAgainWhenTheyAreLongPast() {
        stage.fleet(1, 1);
        for (int i = 0; i < 200; i++) {
            choice.requestArrived(stage.gen("slow" + i));
            Attempt read = stage.last();
            choice.readCompleted(read, 0, null, false);
            Attempt write = stage.last();
            stage.now += 3000;
            choice.responseStarted(write);
            choice.attemptEnded(write, AttemptOutcome.STREAMED, null, true);
        }
        stage.now += 20_000;
        int sent = stage.sent.size();
        choice.requestArrived(stage.gen("a"));
        choice.wakeUp();
        assertEquals(sent + 1, stage.sent.size());
    }

    @Test
    void thousandsThatWaitAreNotAllTriedWheneverOneEnds() {
        Engine[] fleet = stage.fleet(1, 1);
        EngineFixture.setUnreadTokens(fleet[0], 50_000);
        List<Generation> gens = new java.util.ArrayList<>();
        for (int i = 0; i < 500; i++) {
            gens.add(stage.gen("g" + i));
            choice.requestArrived(gens.get(i));
        }
        gens.forEach(generation -> generation.startWaiting(-1));
        choice.wakeUp();
        assertEquals(
                100,
                gens.stream().filter(generation -> generation.leastTokensToRead() >= 0).count());
    }

    @Test
    void engineThatErrsAtOnceIsLeftAloneThoughItAnswersProbes() {
        RoutingPolicyFixture stage = new RoutingPolicyFixture();
        RoutingPolicy choice = stage.start();
        Engine[] fleet = stage.fleet(2, 0);
        for (int i = 0; i < 3; i++) {
            choice.requestArrived(stage.gen("g" + i));
            while (stage.last().isInFlight() && stage.last().engine == fleet[0]) {
                choice.attemptEnded(stage.last(), AttemptOutcome.FAULT, null, false);
                choice.loadProbed(fleet[0], true, null);
            }
            stage.now += 10;
        }
        int before = stage.sent.size();
        choice.requestArrived(stage.gen("last"));
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
        choice.endpointsChanged(
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
            Generation generation = stage.gen("near" + i);
            new Attempt(generation, near, false, stage.now, 2000, 0).open();
        }
        choice.requestArrived(stage.gen("first"));
        choice.readCompleted(stage.last(), 0, null, false);
        assertEquals(far, stage.last().engine);
        stage.now += 500;
        choice.wakeUp();
        choice.requestArrived(stage.gen("second"));
        choice.readCompleted(stage.last(), 0, null, false);
        assertEquals(near, stage.last().engine);
        // Some seconds without any late one, and they go out again.
        stage.now += 5000;
        choice.requestArrived(stage.gen("third"));
        choice.readCompleted(stage.last(), 0, null, false);
        assertEquals(far, stage.last().engine);
    }

    @Test
    void oneBrokenConnectionKeepsNoWorkAwayButTwoDo() {
        RoutingPolicyFixture stage = new RoutingPolicyFixture();
        RoutingPolicy choice = stage.start();
        Engine[] fleet = stage.fleet(2, 0);
        choice.requestArrived(stage.gen("a"));
        choice.attemptEnded(stage.last(), AttemptOutcome.CUT, null, false);
        assertEquals(0, fleet[0].ejectedUntilMs());
        while (stage.last().isInFlight() && stage.last().engine == fleet[0]) {
            choice.attemptEnded(stage.last(), AttemptOutcome.CUT, null, false);
        }
        assertEquals(fleet[1], stage.last().engine);
        assertTrue(fleet[0].ejectedUntilMs() > stage.now);
    }

    @Test
    void readerThatIsFullIsNotAskedAgainAtOnce() {
        RoutingPolicyFixture stage = new RoutingPolicyFixture();
        RoutingPolicy choice = stage.start();
        Engine[] fleet = stage.fleet(2, 0);
        choice.requestArrived(stage.gen("a"));
        choice.attemptEnded(stage.last(), AttemptOutcome.FULL, null, false);
        assertEquals(2, stage.sent.size());
        assertEquals(fleet[1], stage.last().engine);
    }

    /**
     * It may wait in its writer's queue, which keeps the state; any other writer would find none.
     */
    @Test
    void answerWhoseStateWasReleasedBesideItStaysUntilItsPromptIsReadAnew() {
        stage.fleet(2, 2);
        Generation generation = stage.gen("a");
        choice.requestArrived(generation);
        choice.readCompleted(stage.last(), 0, null, false);
        Attempt waits = stage.last();
        choice.stateReleased(waits);
        waits.setSilenceTimeoutMs(100);
        stage.now += waits.silenceTimeoutMs() + 1;
        choice.wakeUp();
        Attempt again = stage.last();
        assertTrue(again.read, "the prompt is read anew before the answer moves");
        assertFalse(stage.heardOf("cancel a"));
        choice.readCompleted(again, 0, null, false);
        assertFalse(stage.last().read);
        assertTrue(waits.isCancelled());
    }

    /** A fault at one generation must not end the regular look at the others. */
    @Test
    void regularLookGoesOnAfterAFault() {
        stage.fleet(1, 1);
        choice.requestArrived(stage.gen("a"));
        stage.wakes = 0;
        stage.last().generation.attempts().set(0, null);
        assertThrows(NullPointerException.class, choice::wakeUp);
        assertEquals(1, stage.wakes);
    }
}
